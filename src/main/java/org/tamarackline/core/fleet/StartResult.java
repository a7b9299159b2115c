package org.tamarackline.core.fleet;

/** What became of an ordered start. */
public enum StartResult {
    /** The runner has the run. */
    STARTED,
    /** The runner had no room; the run did not start. */
    NO_ROOM,
    /** The runner refused for another reason; the run did not start. */
    REFUSED,
    /** The address belongs to another incarnation now; the run did not start. */
    RUNNER_REPLACED,
    /** No answer arrived; the run may have started or may still start. */
    UNKNOWN
}
