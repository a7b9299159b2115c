package org.tamarackline.fleet;

/**
 * Times of a runner's loss, for the log.
 *
 * @param silentMs time since the first poll was sent that it left unanswered, in milliseconds
 * @param leaseEndedMs time since its lease ended, in milliseconds
 * @param confirmedAfterMs time from the end of its lease to the store's last confirmation of the leader, in milliseconds
 */
record RunnerLoss(long silentMs, long leaseEndedMs, long confirmedAfterMs) {}
