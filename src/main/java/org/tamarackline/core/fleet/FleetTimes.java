package org.tamarackline.core.fleet;

/** Times of the decisions about a fleet. */
final class FleetTimes {

    /** Pause before a stop is ordered again whose effect is not listed, in nanoseconds. */
    static final long STOP_REPEAT_NANOS = 700_000_000L;

    private FleetTimes() {}
}
