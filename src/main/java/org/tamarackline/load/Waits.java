package org.tamarackline.load;

import java.io.IOException;
import java.time.Duration;

/** Static helpers that wait for a condition of another process. */
public final class Waits {

    private static final Duration DEFAULT_POLL_INTERVAL = Duration.ofMillis(50);

    private Waits() {}

    /** A condition that may fail to be read. */
    @FunctionalInterface
    public interface Condition {

        /** Returns whether the condition holds. */
        boolean holds() throws IOException, InterruptedException;
    }

    /**
     * Returns once the condition holds.
     *
     * @param description the condition in words, for the message
     * @throws IOException if {@code timeout} passed before, or the condition could not be read
     */
    public static void until(String description, Duration timeout, Condition condition)
            throws IOException, InterruptedException {
        until(description, timeout, DEFAULT_POLL_INTERVAL, condition);
    }

    static void until(String description, Duration timeout, Duration pollInterval, Condition condition)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!condition.holds()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("waited %d s in vain until %s".formatted(timeout.toSeconds(), description));
            }
            Thread.sleep(pollInterval);
        }
    }
}
