package org.tamarackline.peer;

import java.util.concurrent.atomic.AtomicReference;

import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/** The identity of this node; the incarnation changes when the node has lost its membership and joins again. */
public final class LocalNode {

    private final NodeId node;
    private final AtomicReference<Incarnation> incarnation;

    /** Creates the identity of a node that just started. */
    public LocalNode(NodeId node, Incarnation incarnation) {
        this.node = node;
        this.incarnation = new AtomicReference<>(incarnation);
    }

    /** Returns the identity, which is the peer address. */
    public NodeId node() {
        return node;
    }

    /** Returns the current incarnation. */
    public Incarnation incarnation() {
        return incarnation.get();
    }

    /** Starts a new incarnation. */
    public void setIncarnation(Incarnation newIncarnation) {
        incarnation.set(newIncarnation);
    }
}
