package org.tamarackline.fleet;

import java.time.Duration;

/**
 * Limits the withdrawals that a node stores, each of which takes a record for {@link
 * FleetConstants#FINISHED_JOB_RETENTION}, so that callers cannot fill the store with cancellations of unknown jobs.
 */
final class WithdrawalLimit {

    /** Number of withdrawals that may be stored at once. */
    private static final int BURST = 200;

    /** Interval at which another one may be stored. */
    private static final Duration REFILL_INTERVAL = Duration.ofMillis(500);

    private final EventLoop loop;
    private int available = BURST;
    private long refilledNanos;

    WithdrawalLimit(EventLoop loop) {
        this.loop = loop;
        this.refilledNanos = loop.nowNanos();
    }

    /** Returns whether a withdrawal may be stored, and counts it if so. */
    boolean tryAcquire() {
        long refills = (loop.nowNanos() - refilledNanos) / REFILL_INTERVAL.toNanos();
        refilledNanos += refills * REFILL_INTERVAL.toNanos();
        available = (int) Math.min(BURST, available + refills);
        if (available == 0) {
            return false;
        }
        available--;
        return true;
    }
}
