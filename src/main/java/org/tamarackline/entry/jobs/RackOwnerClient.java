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

/** Sends messages about jobs to the owners of racks, one of which may be this node. */
final class RackOwnerClient {

    private final JobsContext context;
    private final JobMessageHandler localHandler;

    @Inject
    RackOwnerClient(JobsContext context, JobMessageHandler localHandler) {
        this.context = context;
        this.localHandler = localHandler;
    }

    /** Returns the different owners of the racks; a rack without a known owner is left out. */
    Set<NodeId> ownersOf(List<ShardId> shards) {
        Set<NodeId> owners = new HashSet<>();
        shards.forEach(shard -> context.cluster().ownerOf(shard).ifPresent(owners::add));
        return owners;
    }

    /** Sends a message and waits for the answer. */
    PeerMessage call(NodeId node, JobMessage message, Duration timeout) throws PeerException {
        if (!node.equals(context.cluster().self())) {
            return context.peers().call(node, message, timeout);
        }
        return localHandler
                .handle(node, message)
                .orElseThrow(() -> new PeerException(
                        PeerException.Reason.INVALID_MESSAGE, "this node does not answer the message", null));
    }

    /** Returns the answer if it came and is of the expected type. */
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
