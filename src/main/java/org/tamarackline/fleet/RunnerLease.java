package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Lease under which a runner runs its tasks. Computes its end on the runner's clock, for commands, and the latest time on
 * this node's clock at which it may still be in effect.
 */
final class RunnerLease {

    private final MonotonicClock clock;
    private final LeaseLimit limit;
    private long endNanos;
    private boolean runnerClockKnown;
    private long runnerClockMs;
    private long runnerClockReadNanos;
    private boolean extended;
    private long extendedNanos;
    /** Whether {@link #earliestEndNanos} is a lower bound of the end. */
    private boolean earliestEndKnown;

    private long earliestEndNanos;

    /**
     * Creates a lease that this node has not extended.
     *
     * @param limit limit of the leases of all runners
     * @param endNanos when everything that earlier leaders started on the runner has ended
     */
    RunnerLease(MonotonicClock clock, LeaseLimit limit, long endNanos) {
        this.clock = clock;
        this.limit = limit;
        this.endNanos = endNanos;
    }

    /**
     * Returns the longest time from a command until everything that it started has ended, if the lease in the command
     * was computed from the clock of the process that received it.
     */
    static long longestNanos() {
        return longestNanos(FleetConstants.RUNNER_LEASE);
    }

    private static long longestNanos(Duration lease) {
        return (long) (lease.toNanos() / (1 - FleetConstants.MAX_CLOCK_DRIFT)) + FleetConstants.LEASE_MARGIN.toNanos();
    }

    /** Returns whether the runner has reported its clock to this leader. */
    boolean runnerClockKnown() {
        return runnerClockKnown;
    }

    /** Records the runner's clock from a status that has just arrived. */
    void readRunnerClock(long clockMs) {
        runnerClockKnown = true;
        runnerClockMs = clockMs;
        runnerClockReadNanos = clock.nowNanos();
    }

    /** Returns whether the lease limit permits to extend the lease of the known process. */
    boolean extendable() {
        return limit.permitsLeases();
    }

    /**
     * Returns whether the lease limit permits to extend the lease.
     *
     * @param processVerified whether the runner can have no run on a process other than the known one, which may grant the
     *     longest lease
     */
    boolean extendable(boolean processVerified) {
        return processVerified ? extendable() : limit.permits(longestNanos(FleetConstants.MAX_RUNNER_LEASE));
    }

    /**
     * Extends the lease from now on and returns its end on the runner's clock in milliseconds. To be called only while it
     * is {@link #extendable}.
     *
     * @param processVerified whether the runner can have no run on a process other than the known one
     */
    long extend(boolean processVerified) {
        long nowNanos = clock.nowNanos();
        extended = true;
        extendedNanos = nowNanos;
        Duration lease = processVerified ? FleetConstants.RUNNER_LEASE : FleetConstants.MAX_RUNNER_LEASE;
        endNanos = Math.max(endNanos, nowNanos + longestNanos(lease));
        double elapsedMs = (nowNanos - runnerClockReadNanos) / 1e6;
        long earliestClockMs = runnerClockMs + (long) (elapsedMs * (1 - FleetConstants.MAX_CLOCK_DRIFT));
        return earliestClockMs + limit.permittedLease().toMillis();
    }

    /** Records that no process other than the known one can have granted the lease. */
    void onProcessVerified() {
        if (extended) {
            endNanos = Math.min(endNanos, extendedNanos + longestNanos());
            endNanos = earliestEndKnown ? Math.max(endNanos, earliestEndNanos) : endNanos;
        }
    }

    /**
     * Records that the runner accepted no command of an earlier leader after a time. Does nothing once the runner has
     * reported to this leader.
     */
    void onEarlierLeadersEnded(long endedNanos) {
        onEarlierLeasesLimited(endedNanos + longestNanos());
    }

    /**
     * Records by when all leases of earlier leaders have expired. Does nothing once the runner has reported to this leader.
     */
    void onEarlierLeasesLimited(long expiredByNanos) {
        if (!runnerClockKnown && endNanos - expiredByNanos > 0) {
            endNanos = expiredByNanos;
        }
    }

    /**
     * Records that another process than before has reported. It may have granted the longest lease to a command whose
     * lease was computed from the clock of the earlier process, also if it had no run then. To be called before the new
     * clock is recorded.
     */
    void onProcessChanged() {
        if (extended) {
            earliestEndKnown = true;
            earliestEndNanos = extendedNanos + longestNanos(FleetConstants.MAX_RUNNER_LEASE);
            endNanos = Math.max(endNanos, earliestEndNanos);
        }
    }

    /** Records that the runner's process has ended. */
    void onProcessEnded() {
        endNanos = Math.min(endNanos, clock.nowNanos());
        earliestEndKnown = false;
    }

    /** Returns when nothing that was started on the runner can still run or start. */
    long endNanos() {
        return endNanos;
    }

    /** Returns whether this leader has extended the lease. */
    boolean extended() {
        return extended;
    }

    boolean expired() {
        return clock.nowNanos() - endNanos > 0;
    }
}
