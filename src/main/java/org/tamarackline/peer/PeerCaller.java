package org.tamarackline.peer;

import java.time.Duration;

import org.tamarackline.core.model.NodeId;

/** Sends requests to other nodes and waits for their responses. */
public interface PeerCaller {

    /**
     * Sends {@code request} to {@code node} and returns the response.
     *
     * <p>After a timeout the connection is replaced, because it may remain silent.
     *
     * @throws PeerException if no response arrived within {@code timeout}
     */
    PeerMessage call(NodeId node, PeerMessage request, Duration timeout) throws PeerException;
}
