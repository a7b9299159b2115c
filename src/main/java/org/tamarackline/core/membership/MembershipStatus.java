package org.tamarackline.core.membership;

/** The operations that a node may do, given when the platform last confirmed its heartbeat. */
public enum MembershipStatus {
    /** The platform confirmed the node within the membership lease: all operations are allowed. */
    CONFIRMED,
    /** Neither this node nor a peer can reach the platform: running work continues, but nothing starts that needs a commit. */
    OUTAGE,
    /** Another node may have taken over the shards: the node accepts no work. */
    ISOLATED
}
