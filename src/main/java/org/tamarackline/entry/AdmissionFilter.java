package org.tamarackline.entry;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.container.PreMatching;
import jakarta.ws.rs.core.Response;

/** Refuses callers' requests, except health checks, after the node has closed admission during a planned stop. */
@PreMatching
final class AdmissionFilter implements ContainerRequestFilter {

    private final Readiness readiness;

    AdmissionFilter(Readiness readiness) {
        this.readiness = readiness;
    }

    @Override
    public void filter(ContainerRequestContext request) {
        if (readiness.admits()
                || HealthResource.isHealthPath(request.getUriInfo().getPath())) {
            return;
        }
        String detail = "the node is shutting down; send the request to another node";
        Response response = new ErrorResponse(ErrorCode.DRAINING, detail, Executed.NO).toResponse();
        response.getHeaders().putSingle("Connection", "close");
        request.abortWith(response);
    }
}
