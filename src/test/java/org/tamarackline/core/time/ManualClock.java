package org.tamarackline.core.time;

import java.time.Duration;

/** A clock that only the test moves. */
public final class ManualClock implements MonotonicClock {

    private long nowNanos;

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    /** Moves the clock forward by {@code step}. */
    public void advance(Duration step) {
        nowNanos += step.toNanos();
    }
}
