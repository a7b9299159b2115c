package org.tamarackline.core.fleet;

/** Times of the decisions about a fleet. */
final class SchedulingLimits {

    /** Pause before a stop is ordered again whose effect is not listed, in nanoseconds. */
    static final long STOP_RETRY_NANOS = 700_000_000L;

    /** Time that a filling task is slowed down before it is moved, in nanoseconds; the cause may pass. */
    static final long THROTTLED_BEFORE_MIGRATION_NANOS = 700_000_000L;

    /** Least time between two looks for tasks to move, in nanoseconds. */
    static final long MIGRATION_REVIEW_NANOS = 200_000_000L;

    /** Most tasks that one round moves, so that the next round sees their effect. */
    static final int MAX_MIGRATIONS_PER_REVIEW = 3;

    /** Longest time that a runner may take to answer a question of an earlier leader that it accepted, in nanoseconds. */
    static final long EARLIER_LEADER_REQUEST_NANOS = 2_000_000_000L;

    private SchedulingLimits() {}
}
