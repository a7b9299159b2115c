package org.tamarackline.fleet.losses;

/**
 * Breakdown of the time of one job.
 *
 * @param job identifier of the job
 * @param queue queue that the job was submitted to
 * @param state terminal state, {@code OPEN} if it is not in the logs
 * @param accepted whether a submission was stored
 * @param times time by category
 */
public record JobTimeBreakdown(String job, String queue, String state, boolean accepted, TimeByCategory times) {}
