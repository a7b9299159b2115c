package org.tamarackline.fleet;

import java.time.Duration;
import java.util.OptionalLong;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Time on the store's clock up to which leases may be granted to runners.
 *
 * <p>A leader grants no lease beyond the limit that it knows to be stored. A successor therefore knows by when the leases
 * of all earlier leaders have expired, however many there were and whether or not it can ask them.
 */
final class LeaseLimit {

    private final MonotonicClock clock;
    private final StoreClock storeClock;
    private long storedMs = LeaseLimitRecord.UNKNOWN;
    /** Last limit that earlier leaders stored, known once they cannot raise it any more. */
    private long earlierLeadersMs = LeaseLimitRecord.UNKNOWN;

    /** Creates a limit that is not known to be stored, so that no lease may be granted. */
    LeaseLimit(MonotonicClock clock, StoreClock storeClock) {
        this.clock = clock;
        this.storeClock = storeClock;
    }

    /** Records the limit that is stored, on the store's clock in milliseconds. */
    void onStored(long limitStoreMs) {
        storedMs = limitStoreMs;
    }

    /** Returns the stored limit, on the store's clock in milliseconds. */
    long storedMs() {
        return storedMs;
    }

    /** Returns a later limit to store now; empty while the store's clock is unknown. */
    OptionalLong raisedMs() {
        OptionalLong nowMs = storeClock.latestMs(clock.nowNanos());
        return nowMs.isPresent()
                ? OptionalLong.of(Math.max(storedMs, nowMs.getAsLong() + FleetConstants.LEASE_LIMIT.toMillis()))
                : OptionalLong.empty();
    }

    /** Returns whether a later limit should be stored. */
    boolean due() {
        Duration lowest = FleetConstants.LEASE_LIMIT.minus(FleetConstants.LEASE_LIMIT_INTERVAL);
        return remainingNanos() < lowest.toNanos();
    }

    /**
     * Returns whether the limit must be raised although successors then wait longer for runners that have not reported,
     * because the leases of all others would expire.
     */
    boolean runsOut() {
        return storedMs != LeaseLimitRecord.UNKNOWN
                && remainingNanos() < FleetConstants.MIN_REMAINING_LEASE_LIMIT.toNanos();
    }

    /** Returns whether a lease may be granted that is worth it. */
    boolean permitsLeases() {
        return permittedLease().compareTo(FleetConstants.MIN_RUNNER_LEASE) >= 0;
    }

    /** Returns whether something may be granted that ends after {@code nanos} at the latest. */
    boolean permits(long nanos) {
        return remainingNanos() >= nanos;
    }

    /** Returns the longest lease that may be granted now, on the clock of a runner. */
    Duration permittedLease() {
        long remainingNanos = remainingNanos() - FleetConstants.LEASE_MARGIN.toNanos();
        Duration permitted = Duration.ofNanos((long) (remainingNanos * (1 - FleetConstants.MAX_CLOCK_DRIFT)));
        return permitted.compareTo(FleetConstants.RUNNER_LEASE) < 0 ? permitted : FleetConstants.RUNNER_LEASE;
    }

    /** Returns the time until the limit, in milliseconds; empty if it or the store's clock is unknown. */
    OptionalLong remainingMs() {
        OptionalLong nowMs = storeClock.earliestMs(clock.nowNanos());
        return storedMs == LeaseLimitRecord.UNKNOWN || nowMs.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(storedMs - nowMs.getAsLong());
    }

    /** Returns the time in which everything that is granted now has to end, in nanoseconds. */
    private long remainingNanos() {
        OptionalLong nowMs = storeClock.latestMs(clock.nowNanos());
        if (nowMs.isEmpty()) {
            return 0;
        }
        double remainingMs = Math.max(0, storedMs - nowMs.getAsLong());
        return (long) (remainingMs * 1e6 / (1 + FleetConstants.MAX_CLOCK_DRIFT));
    }

    /** Records that no earlier leader can store a later limit than the one that is stored now. */
    void onEarlierLeadersFenced() {
        earlierLeadersMs = storedMs;
    }

    /** Returns by when all leases of earlier leaders have expired, on the local clock; empty if unknown. */
    OptionalLong earlierLeasesExpiredByNanos() {
        return earlierLeadersMs == LeaseLimitRecord.UNKNOWN
                ? OptionalLong.empty()
                : storeClock.latestNanosOf(earlierLeadersMs, clock.nowNanos());
    }
}
