package org.tamarackline.entry.jobs;

/** Codes of the error responses to job requests, with their HTTP statuses. */
public enum JobErrorCode {
    /** The caller token is missing or wrong. */
    UNAUTHORIZED(401),
    /** The submission is unreadable, malformed or outside its limits. */
    INVALID_REQUEST(422),
    /** The body is longer than allowed. */
    BODY_TOO_LARGE(413),
    /** The profile is not configured. */
    UNKNOWN_PROFILE(422),
    /** The team is not configured. */
    UNKNOWN_TEAM(422),
    /** The idempotency key was used with a different submission. */
    KEY_REUSED(422),
    /** The caller has no such job or task. */
    NOT_FOUND(404),
    /** The task has no result yet. */
    NOT_FINISHED(409),
    /** The task ended without a result. */
    NO_RESULT(410),
    /** This node cannot reach the platform. */
    PLATFORM_UNAVAILABLE(503),
    /** This node is isolated: another node may have taken over its shards. */
    NODE_ISOLATED(503),
    /** No rack is available for the job. */
    NO_RACK(503),
    /** The owner of a rack is unknown, unreachable or not ready, or refused the request. */
    OWNER_UNAVAILABLE(503),
    /** A write may or may not have taken effect. */
    OUTCOME_UNKNOWN(503);

    private final int status;

    JobErrorCode(int status) {
        this.status = status;
    }

    /** Returns the HTTP status of responses with this code. */
    public int status() {
        return status;
    }
}
