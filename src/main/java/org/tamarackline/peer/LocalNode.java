package org.tamarackline.peer;

import java.util.concurrent.atomic.AtomicReference;

import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/** Identity of this node. Its incarnation changes when the node has lost its membership and joins again. */
public final class LocalNode {

    private final NodeId node;
    private final AtomicReference<Incarnation> incarnation;

    /** Creates the identity of a node with its initial incarnation. */
    public LocalNode(NodeId node, Incarnation incarnation) {
        this.node = node;
        this.incarnation = new AtomicReference<>(incarnation);
    }

    /** Returns the id of the node, which is its peer address. */
    public NodeId node() {
        return node;
    }

    /** Returns the current incarnation. */
    public Incarnation incarnation() {
        return incarnation.get();
    }

    /** Replaces the incarnation when the node joins again. */
    public void setIncarnation(Incarnation newIncarnation) {
        incarnation.set(newIncarnation);
    }
}
