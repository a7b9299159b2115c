package org.tamarackline.fleet;

import java.time.Duration;

/**
 * Tells whether an event loop was on time during a period. A node that was late may also have been late to send a
 * request or to read its response, so a missing response says nothing about the other side.
 */
final class LoopPunctuality {

    /** Interval of the steps whose delay is measured. */
    private static final Duration STEP_INTERVAL = Duration.ofMillis(100);

    /** Delay of a step above which the loop was late; far below the 700 ms in which a ping must be answered. */
    private static final Duration MAX_DELAY = Duration.ofMillis(200);

    private final EventLoop loop;
    private long dueNanos;
    private long maxDelayNanos;
    private boolean measuring;
    /** Identifies the current period, so that steps of an older one do nothing. */
    private long generation;

    LoopPunctuality(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts a period; an earlier one ends. */
    void start() {
        generation++;
        maxDelayNanos = 0;
        measuring = true;
        scheduleStep(generation);
    }

    /** Ends the period. */
    void stop() {
        measuring = false;
    }

    /** Returns whether the loop has been late since the start of the period. */
    boolean late() {
        return Math.max(maxDelayNanos, loop.nowNanos() - dueNanos) > MAX_DELAY.toNanos();
    }

    private void scheduleStep(long period) {
        dueNanos = loop.nowNanos() + STEP_INTERVAL.toNanos();
        loop.schedule(STEP_INTERVAL, () -> {
            if (measuring && period == generation) {
                maxDelayNanos = Math.max(maxDelayNanos, loop.nowNanos() - dueNanos);
                scheduleStep(period);
            }
        });
    }
}
