package org.tamarackline.peer;

import java.time.Duration;

import org.tamarackline.core.model.NodeId;

/** Sends messages to other nodes and waits for their answers. */
public interface PeerCaller {

    /**
     * Sends {@code request} to {@code node} and returns its answer.
     *
     * <p>After a timeout the connection is replaced, because it may have gone silent for good.
     *
     * @throws PeerException if no answer came within {@code timeout}
     */
    PeerMessage call(NodeId node, PeerMessage request, Duration timeout) throws PeerException;
}
