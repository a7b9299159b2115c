package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/** First report of a runner to a new leader, which has granted it no lease before. */
final class FirstReport {

    private final MonotonicClock clock;
    private boolean awaited;
    private boolean requested;
    private long firstRequestNanos;

    /**
     * Creates the state of a runner that has not been polled.
     *
     * @param awaited whether earlier leaders may have granted leases to the runner
     */
    FirstReport(MonotonicClock clock, boolean awaited) {
        this.clock = clock;
        this.awaited = awaited;
    }

    /** Records that a poll was sent. */
    void onPollSent() {
        if (!requested) {
            requested = true;
            firstRequestNanos = clock.nowNanos();
        }
    }

    /** Records that the runner has answered a poll. */
    void onPollAnswered() {
        awaited = false;
    }

    /** Returns whether earlier leaders may have granted leases to the runner, which has not answered this leader. */
    boolean awaited() {
        return awaited;
    }

    /** Returns whether the report has been awaited for {@code time} since the first poll. */
    boolean awaitedFor(Duration time) {
        return awaited && requested && clock.nowNanos() - firstRequestNanos >= time.toNanos();
    }
}
