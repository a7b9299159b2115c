package org.tamarackline.entry;

import java.util.Set;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/** Serves liveness and readiness on both ports, without a credential because load balancers send none. */
@Singleton
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class HealthResource {

    private static final String LIVE_PATH = "live";
    private static final String READY_PATH = "ready";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Readiness readiness;

    @Inject
    public HealthResource(Readiness readiness) {
        this.readiness = readiness;
    }

    /**
     * Response to a readiness check.
     *
     * @param ready whether requests should be sent to this node
     * @param reasons why the node is not ready; empty if it is ready
     */
    public record ReadinessResponse(boolean ready, Set<Readiness.Reason> reasons) {}

    /**
     * Response to a liveness check.
     *
     * @param live always true
     */
    public record LivenessResponse(boolean live) {}

    /** Returns whether {@code path} needs neither a credential nor admission. */
    public static boolean isHealthPath(String path) {
        return path.equals(LIVE_PATH) || path.equals(READY_PATH);
    }

    /** Responds with 200 as long as the process handles requests. */
    @GET
    @Path(LIVE_PATH)
    public LivenessResponse live() {
        return new LivenessResponse(true);
    }

    /** Responds with 200 if the node is ready, otherwise with 503 and the reasons. */
    @GET
    @Path(READY_PATH)
    public Response ready() {
        Set<Readiness.Reason> reasons = readiness.reasons();
        int status = reasons.isEmpty() ? OK : UNAVAILABLE;
        return Response.status(status)
                .entity(new ReadinessResponse(reasons.isEmpty(), reasons))
                .build();
    }
}
