package org.tamarackline.fleet;

import java.util.OptionalLong;

/**
 * Bounds on the store's steady clock, derived from a reading in one of the store's responses.
 *
 * <p>The store took the reading between the request and the response; its clock and the local clock may drift apart by
 * {@link FleetConstants#MAX_CLOCK_DRIFT}. The reading with the closest bounds is kept: a reading in the response to a
 * request that waited for a change may be as old as the request.
 */
public final class StoreClock {

    private static final double NANOS_PER_MS = 1e6;

    private boolean known;
    private long readingMs;
    private long sentNanos;
    private long receivedNanos;
    private boolean discarding;
    private long discardBeforeNanos;

    /** Creates a clock without a reading. */
    public StoreClock() {}

    /**
     * Adds a reading; ignores it if the kept reading has closer bounds or if the request was sent before the readings
     * were discarded.
     *
     * @param storeMs time on the store's clock in milliseconds
     * @param sent when the request was sent, on the local steady clock in nanoseconds
     * @param received when the response was received, on the same clock
     */
    public void addReading(long storeMs, long sent, long received) {
        if (discarding && sent - discardBeforeNanos < 0) {
            return;
        }
        if (known && received - sent > uncertaintyNanos(received)) {
            return;
        }
        known = true;
        readingMs = storeMs;
        sentNanos = sent;
        receivedNanos = received;
    }

    /**
     * Discards the reading, and from now on ignores readings in responses to requests that were sent before the given
     * time.
     */
    public void discardReadingsBefore(long nowNanos) {
        known = false;
        discarding = true;
        discardBeforeNanos = nowNanos;
    }

    /** Returns the distance between the bounds that follow from the kept reading. */
    private double uncertaintyNanos(long atNanos) {
        double driftNanos = 2 * FleetConstants.MAX_CLOCK_DRIFT * (atNanos - receivedNanos);
        return (receivedNanos - sentNanos) * (1 + FleetConstants.MAX_CLOCK_DRIFT) + Math.abs(driftNanos);
    }

    /**
     * Returns the earliest time that the store's clock may show at a time not before the last response; empty if
     * unknown.
     */
    public OptionalLong earliestMs(long atNanos) {
        double elapsedMs = (atNanos - receivedNanos) / NANOS_PER_MS;
        long earliestMs = readingMs + (long) Math.floor(elapsedMs * (1 - FleetConstants.MAX_CLOCK_DRIFT));
        return known ? OptionalLong.of(earliestMs) : OptionalLong.empty();
    }

    /**
     * Returns the latest time that the store's clock may show at a time not before the last response; empty if unknown.
     */
    public OptionalLong latestMs(long atNanos) {
        double elapsedMs = (atNanos - sentNanos) / NANOS_PER_MS;
        long latestMs = readingMs + 1 + (long) Math.ceil(elapsedMs * (1 + FleetConstants.MAX_CLOCK_DRIFT));
        return known ? OptionalLong.of(latestMs) : OptionalLong.empty();
    }

    /**
     * Returns the latest local time at which the store's clock may show a time, or {@code nowNanos} if it shows a later
     * one already; empty if unknown.
     */
    OptionalLong latestNanosOf(long storeMs, long nowNanos) {
        OptionalLong nowMs = earliestMs(nowNanos);
        if (nowMs.isEmpty()) {
            return OptionalLong.empty();
        }
        double remainingMs = Math.max(0, storeMs - nowMs.getAsLong());
        return OptionalLong.of(
                nowNanos + (long) Math.ceil(remainingMs * NANOS_PER_MS / (1 - FleetConstants.MAX_CLOCK_DRIFT)));
    }
}
