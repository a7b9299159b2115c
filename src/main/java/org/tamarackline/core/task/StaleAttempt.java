package org.tamarackline.core.task;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;

/** An attempt that the rack gave up or recorded as ended, and that its worker still has to stop or forget. */
final class StaleAttempt {

    final TaskId task;
    final int attempt;
    boolean stopNeeded;
    /** Whether the lease of the worker must stay lapsed until the stop is confirmed, because the task may run elsewhere. */
    boolean blocksRenewal;
    /** Whether a worker list without the task settles it; false if a start that this owner sent may still arrive. */
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

    /** A lapsed attempt: it takes up nothing, but a delayed start of it must not find a current lease. */
    static StaleAttempt afterLeaseExpiry(TaskId task, int attempt) {
        StaleAttempt staleAttempt = toStop(task, attempt, Resources.NONE);
        staleAttempt.blocksRenewal = true;
        return staleAttempt;
    }

    /** Takes note that the lease of the worker lapsed before the stop was confirmed. */
    void leaseExpired() {
        blocksRenewal = true;
        occupied = Resources.NONE;
    }

    void stopped() {
        stopNeeded = false;
        blocksRenewal = false;
        occupied = Resources.NONE;
        retryAtNanos = 0;
    }
}
