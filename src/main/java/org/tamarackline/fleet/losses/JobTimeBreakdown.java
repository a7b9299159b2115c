package org.tamarackline.fleet.losses;

/**
 * Where the time of one job went.
 *
 * @param job identifier of the job
 * @param queue queue that the job was submitted to
 * @param state last state, {@code OPEN} if the logs tell of none
 * @param accepted whether a submission was stored
 * @param times time by cause
 */
public record JobTimeBreakdown(String job, String queue, String state, boolean accepted, TimeByCategory times) {}
