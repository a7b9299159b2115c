package org.tamarackline.fleet;

/** Measures by how much the steps of an event loop are late; long delays show a lack of CPU time. */
final class LoopDelay {

    private long maxNanos;

    /** Records a step that was due at one time and runs now. */
    void record(long dueNanos, long nowNanos) {
        maxNanos = Math.max(maxNanos, nowNanos - dueNanos);
    }

    /** Returns the longest delay since the last call, in milliseconds. */
    long getAndResetMaxMs() {
        long ms = maxNanos / 1_000_000;
        maxNanos = 0;
        return ms;
    }
}
