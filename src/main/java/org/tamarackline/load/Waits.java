package org.tamarackline.load;

import java.io.IOException;
import java.time.Duration;

/** Polls conditions that depend on other processes until they hold. */
public final class Waits {

    private static final Duration DEFAULT_POLL_INTERVAL = Duration.ofMillis(50);

    private Waits() {}

    /** A condition whose evaluation may fail. */
    @FunctionalInterface
    public interface Condition {

        /** Returns whether the condition holds. */
        boolean holds() throws IOException, InterruptedException;
    }

    /**
     * Waits until the condition holds.
     *
     * @param description description of the condition for the error message
     * @throws IOException if {@code timeout} expires first or the condition cannot be evaluated
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
                throw new IOException(
                        "timed out after %d s waiting until %s".formatted(timeout.toSeconds(), description));
            }
            Thread.sleep(pollInterval);
        }
    }
}
