package org.tamarackline.core.fleet;

/** How a run ended. */
public enum EndReason {
    /** The task finished its work. */
    DONE,
    /** The task failed; only this reason counts towards the maximum number of attempts. */
    FAILED,
    /** The leader stopped it. */
    STOPPED,
    /** The runner's lease expired. */
    LEASE_EXPIRED,
    /** Another member of the gang ended. */
    GANG_BROKEN,
    /** The other members of the gang did not arrive in time. */
    GANG_INCOMPLETE
}
