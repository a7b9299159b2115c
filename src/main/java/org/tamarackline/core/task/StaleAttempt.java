package org.tamarackline.core.task;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;

/** An attempt that was abandoned or recorded as ended, and that its worker still has to stop or forget. */
final class StaleAttempt {

    final TaskId task;
    final int attempt;
    boolean stopNeeded;
    /** Whether the worker's lease must not be renewed until the stop is confirmed, because the task may run elsewhere. */
    boolean blocksRenewal;
    /** Whether it is removed when the worker's task list lacks it; false if a start sent by this owner may still arrive. */
    boolean removedWhenUnlisted;

    Resources occupied;
    boolean commandInFlight;
    long retryAtNanos;

    private StaleAttempt(TaskId task, int attempt, boolean stopNeeded, Resources occupied) {
        this.task = task;
        this.attempt = attempt;
        this.stopNeeded = stopNeeded;
        this.occupied = occupied;
    }

    static StaleAttempt toForget(TaskId task, int attempt) {
        return new StaleAttempt(task, attempt, false, Resources.NONE);
    }

    static StaleAttempt toStop(TaskId task, int attempt, Resources occupied) {
        return new StaleAttempt(task, attempt, true, occupied);
    }

    /** Creates an attempt whose lease expired. It occupies nothing, but a delayed start must not find a current lease. */
    static StaleAttempt afterLeaseExpiry(TaskId task, int attempt) {
        StaleAttempt staleAttempt = toStop(task, attempt, Resources.NONE);
        staleAttempt.blocksRenewal = true;
        return staleAttempt;
    }

    /** Records that the lease of the worker expired before the stop was confirmed. */
    void recordLeaseExpiry() {
        blocksRenewal = true;
        occupied = Resources.NONE;
    }

    void recordStop() {
        stopNeeded = false;
        blocksRenewal = false;
        occupied = Resources.NONE;
        retryAtNanos = 0;
    }
}
