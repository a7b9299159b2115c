package org.tamarackline.peer;

import java.util.Optional;

import org.tamarackline.core.model.NodeId;

/** Handles requests of other nodes. The server calls its handlers in turn until one returns a response. */
public interface PeerHandler {

    /**
     * Returns the response to {@code request} from {@code sender}, or empty if this handler does not support its type.
     */
    Optional<PeerMessage> handle(NodeId sender, PeerMessage request);
}
