package org.tamarackline.core.time;

/**
 * A source of elapsed time that never goes backwards.
 *
 * <p>Every lease, deadline and timeout is measured on this clock, because the wall clocks of two processes may differ.
 */
public interface MonotonicClock {

    /** Returns the time elapsed since a fixed but arbitrary origin, in nanoseconds. */
    long nowNanos();

    /** Returns the clock of the running Java virtual machine. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
