package org.tamarackline.process.soak;

import java.time.Duration;
import java.util.Locale;

/** Converts between the steady clock, the time of day in the nodes' logs, and the time since the start of a soak. */
final class SoakClock {

    private final long startNanos = System.nanoTime();
    private final long startEpochMs = System.currentTimeMillis();

    Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    long nanosAtEpochMs(long epochMs) {
        return startNanos + (epochMs - startEpochMs) * 1_000_000;
    }

    /** Returns a time of the steady clock in seconds since the start. */
    String format(long nanos) {
        return String.format(Locale.ROOT, "%.3f s", (nanos - startNanos) / 1e9);
    }
}
