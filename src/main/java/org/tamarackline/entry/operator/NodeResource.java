package org.tamarackline.entry.operator;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import org.tamarackline.core.model.NodeId;

/** Accepts operators' confirmations that the process of an entry node has ended. */
@Singleton
@Path("/nodes")
@Produces(MediaType.APPLICATION_JSON)
public final class NodeResource {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final NodeStopConfirmer stopConfirmer;

    @Inject
    NodeResource(NodeStopConfirmer stopConfirmer) {
        this.stopConfirmer = stopConfirmer;
    }

    /**
     * Response to a confirmation.
     *
     * @param node node that has stopped
     * @param confirmed always true
     */
    public record Confirmation(NodeId node, boolean confirmed) {}

    /** Marks a node as gone, because its process has ended. */
    @POST
    @Path("{id}/confirm-stopped")
    public Confirmation confirmStopped(@PathParam("id") String id) throws OperatorException {
        NodeId node = IdentifierParser.parse(NodeId::new, id);
        stopConfirmer.confirmStopped(node);
        LOGGER.atInfo().log("an operator confirmed that node %s has stopped", node);
        return new Confirmation(node, true);
    }
}
