package org.tamarackline.core.routing;

/**
 * The measured time that a request of one service occupies a slot, as a mean that follows changes.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 */
public final class ServiceTimeAverage {

    /** Weight of a new sample; about the last 20 requests count. */
    private static final double SAMPLE_WEIGHT = 0.05;

    private double meanNanos;
    private long samples;

    /** Adds the time of a request that was answered. */
    public void record(long nanos) {
        samples++;
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / samples);
        meanNanos += weight * (nanos - meanNanos);
    }

    /** Returns the mean, 0 before the first sample so that nothing is shed without a measurement. */
    public long meanNanos() {
        return (long) meanNanos;
    }
}
