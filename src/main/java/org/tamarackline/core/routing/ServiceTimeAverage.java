package org.tamarackline.core.routing;

/**
 * The exponentially weighted moving average of the time for which a request of one service occupies a slot.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 */
public final class ServiceTimeAverage {

    /** Weight of a new sample. The average covers about the last 20 requests. */
    private static final double SAMPLE_WEIGHT = 0.05;

    private double meanNanos;
    private long samples;

    /** Adds the duration of a successful request. */
    public void record(long nanos) {
        samples++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
        meanNanos += weight * (nanos - meanNanos);
    }

    /** Returns the average. It is 0 before the first sample, so that no request is rejected without a measurement. */
    public long meanNanos() {
        return (long) meanNanos;
    }
}
