package org.tamarackline.core.fleet;

/** Time and rate limits of the scheduling decisions. */
final class SchedulingLimits {

    /** Delay before a stop is sent again whose effect is not reported, in nanoseconds. */
    static final long STOP_RETRY_NANOS = 700_000_000L;

    /** Time that a best-effort task is throttled before it is migrated, in nanoseconds; the cause may pass. */
    static final long THROTTLED_BEFORE_MIGRATION_NANOS = 700_000_000L;

    /** Minimum time between two reviews of the runs to migrate, in nanoseconds. */
    static final long MIGRATION_REVIEW_NANOS = 200_000_000L;

    /** Maximum number of runs to migrate per review, so that the next review sees their effect. */
    static final int MAX_MIGRATIONS_PER_REVIEW = 3;

    /**
     * Maximum time that a runner takes to respond to a request of an earlier leader that it accepted, in milliseconds.
     */
    static final long EARLIER_LEADER_REQUEST_MS = 2_000;

    /** Longest time from the sending of a command until a runner executes it, in nanoseconds. */
    static final long MAX_COMMAND_DELAY_NANOS = 12_000_000_000L;

    private SchedulingLimits() {}
}
