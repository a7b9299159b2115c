package org.tamarackline.fleet;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Circuit breaker for submissions to the store.
 *
 * <p>After consecutive failures, submissions are rejected at once instead of waiting for the store; one probe at a time
 * still goes through, to detect that the store is available again.
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

    /** Returns whether a submission may be sent now, and if so, records it as sent. */
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
