package org.tamarackline.core.fleet;

/** The result of a start command. */
public enum StartResult {
    /** The runner started the run, or had started it before. */
    STARTED,
    /** The runner lacked free resources; the run did not start. */
    NO_ROOM,
    /** The runner refused for another reason; the run did not start. */
    REFUSED,
    /** The address now belongs to another incarnation; the run did not start. */
    RUNNER_REPLACED,
    /** The start was not sent. */
    NOT_SENT,
    /** The start was not sent, because the runner's answer to the poll before it came too late. */
    ANSWERED_LATE,
    /** No response arrived; the run may have started or may still start. */
    UNKNOWN
}
