package org.tamarackline.fleet;

import java.util.OptionalLong;

/**
 * What the store's steady clock may show, from a reading in one of the store's answers.
 *
 * <p>The reading was made between the request and the answer; the store's clock and ours may run apart by
 * {@link FleetConstants#MAX_CLOCK_DRIFT}. The reading that bounds the clock most closely is kept: one in the answer to a request that
 * waited for a change may be as old as the request.
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
     * Takes note of a reading; does nothing if an earlier one bounds the clock more closely or if it is to be forgotten.
     *
     * @param storeMs what the store's clock showed
     * @param sent when the request was sent, on our steady clock in nanoseconds
     * @param received when the answer was received, on the same clock
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

    /** Drops the reading, and passes over those in answers to requests that were sent before a moment. */
    public void discardReadingsBefore(long nowNanos) {
        known = false;
        discarding = true;
        discardBeforeNanos = nowNanos;
    }

    /** Returns how far apart the bounds by the kept reading are. */
    private double uncertaintyNanos(long atNanos) {
        double driftNanos = 2 * FleetConstants.MAX_CLOCK_DRIFT * (atNanos - receivedNanos);
        return (receivedNanos - sentNanos) * (1 + FleetConstants.MAX_CLOCK_DRIFT) + Math.abs(driftNanos);
    }

    /** Returns the earliest time that the store's clock may show at a moment not before the last answer; empty if unknown. */
    public OptionalLong earliestMs(long atNanos) {
        double elapsedMs = (atNanos - receivedNanos) / NANOS_PER_MS;
        long earliestMs = readingMs + (long) Math.floor(elapsedMs * (1 - FleetConstants.MAX_CLOCK_DRIFT));
        return known ? OptionalLong.of(earliestMs) : OptionalLong.empty();
    }

    /** Returns the latest time that the store's clock may show at a moment not before the last answer; empty if unknown. */
    public OptionalLong latestMs(long atNanos) {
        double elapsedMs = (atNanos - sentNanos) / NANOS_PER_MS;
        long latestMs = readingMs + 1 + (long) Math.ceil(elapsedMs * (1 + FleetConstants.MAX_CLOCK_DRIFT));
        return known ? OptionalLong.of(latestMs) : OptionalLong.empty();
    }
}
