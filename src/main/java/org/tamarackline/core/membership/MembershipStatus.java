package org.tamarackline.core.membership;

/** What a node may do, given when the platform last confirmed it. */
public enum MembershipStatus {
    /** The platform confirmed the node recently: everything is allowed. */
    CONFIRMED,
    /** The platform is out of reach for this node and a peer: what runs goes on, nothing that must be committed starts. */
    OUTAGE,
    /** The node cannot know whether another node took over: it admits nothing. */
    ISOLATED
}
