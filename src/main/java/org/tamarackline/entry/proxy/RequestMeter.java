package org.tamarackline.entry.proxy;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.config.ServiceDefinition;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.core.usage.AttemptOutcome;
import org.tamarackline.core.usage.RequestUsageRecorder;
import org.tamarackline.entry.cluster.Cluster;

/** Reports the time that runners spend on attempts of latency-critical requests to the usage accounting. Thread-safe. */
@Singleton
final class RequestMeter {

    private final Cluster cluster;
    private final RequestUsageRecorder usage;
    private final MonotonicClock clock;

    @Inject
    RequestMeter(Cluster cluster, RequestUsageRecorder usage, MonotonicClock clock) {
        this.cluster = cluster;
        this.usage = usage;
        this.clock = clock;
    }

    /** Reports an attempt that started at {@code startNanos} and has just ended. Ignored if the service no longer exists. */
    void record(ServiceName service, long startNanos, AttemptOutcome outcome) {
        long durationMs = TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - startNanos);
        findDefinition(service)
                .ifPresent(definition ->
                        usage.recordRequest(service, definition.team(), Math.max(0, durationMs), outcome));
    }

    private Optional<ServiceDefinition> findDefinition(ServiceName service) {
        return cluster.configuration().stream()
                .flatMap(configuration -> configuration.services().stream())
                .filter(definition -> definition.name().equals(service))
                .findFirst();
    }
}
