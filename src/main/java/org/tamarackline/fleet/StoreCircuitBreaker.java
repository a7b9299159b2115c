package org.tamarackline.fleet;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Tells whether a submission is worth sending to the store.
 *
 * <p>After answers failed to come in a row, submissions are refused at once instead of being held; one at a time still
 * goes through to find out whether the store is back.
 */
final class StoreCircuitBreaker {

    private static final int FAILURES_TO_OPEN = 2;
    private static final long PROBE_INTERVAL_NANOS = 300_000_000L;

    private final MonotonicClock clock;
    private int consecutiveFailures;
    private long lastRequestNanos;

    StoreCircuitBreaker(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns whether a submission may be sent now; takes note that it is. */
    boolean tryAcquire() {
        long nowNanos = clock.nowNanos();
        if (consecutiveFailures >= FAILURES_TO_OPEN && nowNanos - lastRequestNanos < PROBE_INTERVAL_NANOS) {
            return false;
        }
        lastRequestNanos = nowNanos;
        return true;
    }

    void onSuccess() {
        consecutiveFailures = 0;
    }

    void onFailure() {
        consecutiveFailures++;
    }
}
