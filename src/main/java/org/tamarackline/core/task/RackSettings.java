package org.tamarackline.core.task;

import java.time.Duration;

/**
 * The intervals and thresholds by which a rack is scheduled.
 *
 * @param renewalInterval time between two renewals of a worker
 * @param taskLease duration of the lease under which a worker runs its tasks
 * @param driftMargin allowance for clocks that run at different rates
 * @param poisonThreshold number of different workers on which a task may fail before it is parked
 * @param workerFailureThreshold number of counted failures that quarantine a worker
 */
public record RackSettings(
        Duration renewalInterval,
        Duration taskLease,
        Duration driftMargin,
        int poisonThreshold,
        int workerFailureThreshold) {

    /** Returns the time after the last renewal from which a silent worker runs no task any more. */
    public Duration leaseExpiryDelay() {
        return taskLease.plus(driftMargin);
    }
}
