package org.tamarackline.load;

import java.time.Duration;
import java.util.Optional;

/**
 * Report of the {@code load} command, which can be written as JSON.
 *
 * @param ratePerSecond requests per second
 * @param durationMs time over which requests were sent, separately for entry nodes and direct load, in milliseconds
 * @param bodyBytes length of each request's body in bytes
 * @param targets number of entry nodes
 * @param entry measurements through the entry nodes
 * @param direct measurements of the same load sent directly to the upstreams
 * @param comparison latency added by the entry nodes
 */
public record LoadReport(
        int ratePerSecond,
        long durationMs,
        int bodyBytes,
        int targets,
        LoadResult entry,
        Optional<LoadResult> direct,
        Optional<Comparison> comparison) {

    /** Returns the report of a run. */
    static LoadReport of(
            LoadPlan plan, Duration measuredDuration, int targets, LoadResult entry, Optional<LoadResult> direct) {
        return new LoadReport(
                plan.ratePerSecond(),
                measuredDuration.toMillis(),
                plan.bodyBytes(),
                targets,
                entry,
                direct,
                direct.map(other -> Comparison.of(entry.latency(), other.latency())));
    }

    /**
     * Latency through the entry nodes compared with direct latency.
     *
     * @param p50Ratio ratio of the 50th percentiles
     * @param p99Ratio ratio of the 99th percentiles
     * @param addedP50Ms difference of the 50th percentiles in milliseconds
     * @param addedP90Ms difference of the 90th percentiles in milliseconds
     * @param addedP99Ms difference of the 99th percentiles in milliseconds
     * @param addedP999Ms difference of the 99.9th percentiles in milliseconds
     */
    public record Comparison(
            double p50Ratio,
            double p99Ratio,
            double addedP50Ms,
            double addedP90Ms,
            double addedP99Ms,
            double addedP999Ms) {

        static Comparison of(LatencySummary entry, LatencySummary direct) {
            return new Comparison(
                    entry.p50Ms() / direct.p50Ms(),
                    entry.p99Ms() / direct.p99Ms(),
                    entry.p50Ms() - direct.p50Ms(),
                    entry.p90Ms() - direct.p90Ms(),
                    entry.p99Ms() - direct.p99Ms(),
                    entry.p999Ms() - direct.p999Ms());
        }
    }
}
