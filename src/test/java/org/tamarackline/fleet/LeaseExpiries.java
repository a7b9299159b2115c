package org.tamarackline.fleet;

import java.time.Duration;

/** Checks that no run of a {@link ClusterSimulation} ends with its lease at a time at which leases must not expire. */
final class LeaseExpiries {

    /** Time after which all leases have expired that were granted before, so that a later expiry has another cause. */
    private static final Duration LONGEST_LEASE = FleetConstants.LEASE_LIMIT;

    private final ManualLoop loop;
    private final RunHistory history;
    private long forbiddenUntilNanos = -1;
    private long knownExpiries;

    LeaseExpiries(ManualLoop loop, RunHistory history) {
        this.loop = loop;
        this.history = history;
    }

    /** From now on no lease may expire because of something that happens within a time. */
    void forbidFor(Duration time) {
        forbiddenUntilNanos = loop.nowNanos() + time.plus(LONGEST_LEASE).toNanos();
    }

    /** Checks the runs that have ended since the last check; to be called at short intervals. */
    void check() {
        long expiries = history.leaseExpiryCount();
        if (expiries > knownExpiries && loop.nowNanos() <= forbiddenUntilNanos) {
            history.report(
                    RunHistory.Rule.LEASE_EXPIRED_IN_WRITE_FAILURE,
                    "all jobs",
                    expiries - knownExpiries + " runs ended with their lease");
        }
        knownExpiries = expiries;
    }
}
