package org.tamarackline.core.time;

import java.time.Duration;

/** A clock that advances only when the test calls {@link #advance}. */
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
