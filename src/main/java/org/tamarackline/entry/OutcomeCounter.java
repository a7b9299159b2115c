package org.tamarackline.entry;

import com.google.inject.Inject;
import io.micrometer.core.instrument.MeterRegistry;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerResponseContext;
import jakarta.ws.rs.container.ContainerResponseFilter;

/** Counts callers' requests, except health checks, by status class and by the {@link Executed} header of the response. */
final class OutcomeCounter implements ContainerResponseFilter {

    private static final int STATUS_CLASS_SIZE = 100;

    private final MeterRegistry meters;

    @Inject
    OutcomeCounter(MeterRegistry meters) {
        this.meters = meters;
    }

    @Override
    public void filter(ContainerRequestContext request, ContainerResponseContext response) {
        if (HealthResource.isHealthPath(request.getUriInfo().getPath())) {
            return;
        }
        String statusClass = response.getStatus() / STATUS_CLASS_SIZE + "xx";
        String executed = response.getHeaderString(Executed.HEADER);
        meters.counter("caller_requests_total", "status", statusClass, "executed", executed == null ? "" : executed)
                .increment();
    }
}
