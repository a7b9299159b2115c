package org.tamarackline.fleet;

/** Measures by how much the steps of an event loop are late, which shows a lack of processor time. */
final class LoopDelay {

    private long longestNanos;

    /** Takes note of a step that was planned for a time and runs now. */
    void ran(long plannedNanos, long nowNanos) {
        longestNanos = Math.max(longestNanos, nowNanos - plannedNanos);
    }

    /** Returns the longest delay since the last call, in milliseconds. */
    long takeLongestMs() {
        long ms = longestNanos / 1_000_000;
        longestNanos = 0;
        return ms;
    }
}
