package org.tamarackline.core.membership;

/** State of a node in its row. */
public enum NodeState {
    /** The node takes part. */
    LIVE,
    /** The node is shutting down and takes no new work. */
    LEAVING,
    /** The node has stopped, or must not act any longer. */
    GONE
}
