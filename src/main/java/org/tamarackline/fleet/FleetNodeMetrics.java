package org.tamarackline.fleet;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** Prometheus metrics of a fleet node: counts of submissions and latencies of requests. */
public final class FleetNodeMetrics {

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<FleetNode.SubmitResult, Counter> submissions = new EnumMap<>(FleetNode.SubmitResult.class);
    private final Timer requests = Timer.builder("tamarackline.request.duration")
            .description("time from a whole request to its answer")
            .serviceLevelObjectives(
                    Duration.ofMillis(10), Duration.ofMillis(60), Duration.ofMillis(250), Duration.ofSeconds(1))
            .register(registry);

    /** Creates the metrics, all zero. */
    public FleetNodeMetrics() {
        for (FleetNode.SubmitResult result : FleetNode.SubmitResult.values()) {
            submissions.put(
                    result,
                    Counter.builder("tamarackline.submissions")
                            .description("submissions by their answer")
                            .tag("answer", result.name())
                            .register(registry));
        }
    }

    void submitted(FleetNode.SubmitResult result) {
        submissions.get(result).increment();
    }

    /** Records the duration of an answered request. */
    public void requestCompleted(Duration duration) {
        requests.record(duration);
    }

    /** Returns all metrics in the Prometheus text format. */
    String text() {
        return registry.scrape();
    }
}
