package org.tamarackline.load;

import org.HdrHistogram.AbstractHistogram;

/**
 * Percentiles of a latency distribution in milliseconds.
 *
 * @param count number of values
 * @param p50Ms 50th percentile
 * @param p90Ms 90th percentile
 * @param p99Ms 99th percentile
 * @param p999Ms 99.9th percentile
 * @param maxMs largest value
 */
public record LatencySummary(long count, double p50Ms, double p90Ms, double p99Ms, double p999Ms, double maxMs) {

    private static final double MICROS_PER_MS = 1_000;

    /** Returns the summary of a histogram in microseconds. */
    static LatencySummary ofMicros(AbstractHistogram histogram) {
        return new LatencySummary(
                histogram.getTotalCount(),
                percentile(histogram, 50),
                percentile(histogram, 90),
                percentile(histogram, 99),
                percentile(histogram, 99.9),
                histogram.getMaxValue() / MICROS_PER_MS);
    }

    private static double percentile(AbstractHistogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
    }
}
