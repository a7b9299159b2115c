package org.tamarackline.load;

import java.io.IOException;
import java.time.Duration;

/** Static helpers that wait for a condition of another process. */
public final class Waits {

    private static final Duration DEFAULT_INTERVAL = Duration.ofMillis(50);

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
     * @param what the condition in words, for the message
     * @throws IOException if {@code bound} passed before, or the condition could not be read
     */
    public static void until(String what, Duration bound, Condition condition)
            throws IOException, InterruptedException {
        until(what, bound, DEFAULT_INTERVAL, condition);
    }

    static void until(String what, Duration bound, Duration interval, Condition condition)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + bound.toNanos();
        while (!condition.holds()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("waited %d s in vain until %s".formatted(bound.toSeconds(), what));
            }
            Thread.sleep(interval);
        }
    }
}
