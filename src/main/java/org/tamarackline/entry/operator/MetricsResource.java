package org.tamarackline.entry.operator;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;

/** Serves the metrics of this node in the text format of Prometheus. */
@Singleton
@Path("/metrics")
public final class MetricsResource {

    private final PrometheusMeterRegistry meters;

    @Inject
    public MetricsResource(PrometheusMeterRegistry meters) {
        this.meters = meters;
    }

    /** Returns the current value of every metric. */
    @GET
    @Produces("text/plain; version=0.0.4; charset=utf-8")
    public String scrape() {
        return meters.scrape();
    }
}
