package org.tamarackline.peer;

import java.util.Optional;

import org.tamarackline.core.model.NodeId;

/** Answers messages of other nodes; all handlers are asked in turn until one answers. */
public interface PeerHandler {

    /** Returns the answer to {@code request} from {@code sender}, or empty if this handler does not answer its type. */
    Optional<PeerMessage> handle(NodeId sender, PeerMessage request);
}
