package org.tamarackline.core.task;

/** What the owner of a rack may do, given its membership status. */
public enum RackMode {
    /** All operations are allowed. */
    ACTIVE,
    /** The platform cannot be reached: running tasks continue, but nothing is started, evicted or reassigned. */
    HOLDING
}
