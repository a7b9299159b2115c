package org.tamarackline.core.task;

/** What the owner of a rack may do at the moment. */
public enum RackMode {
    /** Everything. */
    ACTIVE,
    /** The platform is out of reach: what runs goes on, nothing starts, is evicted or reassigned. */
    HOLDING
}
