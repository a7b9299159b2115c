package org.tamarackline.core.membership;

/** The state of a node, as stored in its row. */
public enum NodeState {
    /** The node is a member and may own shards. */
    LIVE,
    /** The node is shutting down and takes no new work. */
    LEAVING,
    /** The node has stopped or was taken over, and must not act on shards. */
    GONE
}
