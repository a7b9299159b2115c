package org.tamarackline.core.task;

import java.time.Duration;

/**
 * Times and thresholds of a rack.
 *
 * @param renewalInterval time between two renewals of a worker
 * @param taskLease length of the lease of a worker's tasks
 * @param driftMargin allowance for clocks that run at different rates
 * @param poisonThreshold different workers on which a task may fail
 * @param workerFailureThreshold failed starts in a row that quarantine a worker
 */
public record RackSettings(
        Duration renewalInterval,
        Duration taskLease,
        Duration driftMargin,
        int poisonThreshold,
        int workerFailureThreshold) {

    /** Returns the time after the last renewal at which no task of a silent worker can be running. */
    public Duration leaseExpiryDelay() {
        return taskLease.plus(driftMargin);
    }
}
