package org.tamarackline.core.time;

/**
 * A source of elapsed time that never goes backwards.
 *
 * <p>All leases, deadlines and timeouts use this clock, because wall clocks may be adjusted and differ between processes.
 */
public interface MonotonicClock {

    /** Returns the time elapsed since a fixed but arbitrary origin, in nanoseconds. */
    long nowNanos();

    /** Returns the clock of the running Java virtual machine. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
