package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.inject.Inject;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.peer.JobMessage;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;

/** Sends job messages to the nodes that own racks; messages to this node are handled locally. */
final class RackOwnerClient {

    private final JobsContext context;
    private final JobMessageHandler localHandler;

    @Inject
    RackOwnerClient(JobsContext context, JobMessageHandler localHandler) {
        this.context = context;
        this.localHandler = localHandler;
    }

    /** Returns the distinct owners of the racks, without the racks that have no known owner. */
    Set<NodeId> ownersOf(List<ShardId> shards) {
        Set<NodeId> owners = new HashSet<>();
        shards.forEach(shard -> context.cluster().ownerOf(shard).ifPresent(owners::add));
        return owners;
    }

    /** Sends a message and waits for the response. */
    PeerMessage call(NodeId node, JobMessage message, Duration timeout) throws PeerException {
        if (!node.equals(context.cluster().self())) {
            return context.peers().call(node, message, timeout);
        }
        return localHandler
                .handle(node, message)
                .orElseThrow(() -> new PeerException(
                        PeerException.Reason.INVALID_MESSAGE, "this node does not handle the message", null));
    }

    /** Sends a message and returns the response, empty if the call failed or the response has another type. */
    <T extends PeerMessage> Optional<T> tryCall(NodeId node, JobMessage message, Class<T> type) {
        try {
            PeerMessage response =
                    call(node, message, context.settings().cluster().requestTimeout());
            return type.isInstance(response) ? Optional.of(type.cast(response)) : Optional.empty();
        } catch (PeerException e) {
            return Optional.empty();
        }
    }
}
