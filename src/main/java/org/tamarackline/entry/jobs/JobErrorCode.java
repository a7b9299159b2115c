package org.tamarackline.entry.jobs;

/** The closed set of codes in error answers about jobs. */
public enum JobErrorCode {
    /** The credential is missing or wrong. */
    UNAUTHORIZED(401),
    /** The request is not valid. */
    INVALID_REQUEST(422),
    /** The body is longer than allowed. */
    BODY_TOO_LARGE(413),
    /** No such profile is configured. */
    UNKNOWN_PROFILE(422),
    /** No such team is configured. */
    UNKNOWN_TEAM(422),
    /** The idempotency key was used with another submission. */
    KEY_REUSED(422),
    /** The caller has no such job or task. */
    NOT_FOUND(404),
    /** The task has no result yet. */
    NOT_FINISHED(409),
    /** The task ended without a result. */
    NO_RESULT(410),
    /** The platform, or this node's connection to it, is down. */
    PLATFORM_UNAVAILABLE(503),
    /** This node does not know whether it may serve. */
    NODE_ISOLATED(503),
    /** No rack is in operation that could take the job. */
    NO_RACK(503),
    /** The owner of a rack could not be asked. */
    OWNER_UNAVAILABLE(503),
    /** The outcome of a write could not be learnt. */
    OUTCOME_UNKNOWN(503);

    private final int status;

    JobErrorCode(int status) {
        this.status = status;
    }

    /** Returns the HTTP status that goes with the code. */
    public int status() {
        return status;
    }
}
