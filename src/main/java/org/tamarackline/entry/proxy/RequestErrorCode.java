package org.tamarackline.entry.proxy;

/** Error codes that a caller gets for a latency-critical request, each with its HTTP status. */
public enum RequestErrorCode {
    /** The bearer token is missing or belongs to no caller. */
    UNAUTHENTICATED(401),
    /** A header or the path is not valid. */
    BAD_REQUEST(400),
    /** The service is not in the configuration. */
    UNKNOWN_SERVICE(404),
    /** This node has no configuration or is isolated from the platform and its peers. */
    NOT_READY(503),
    /** No runner of the service accepts requests. */
    NO_RUNNER(503),
    /** The queue is full, or the request could not be served by its deadline. */
    OVERLOADED(503),
    /** The platform could not record the idempotency key. */
    PLATFORM_UNAVAILABLE(503),
    /** No connection to a runner could be opened. */
    UPSTREAM_UNREACHABLE(502),
    /** The runner closed the connection or sent something that is not HTTP. */
    UPSTREAM_FAILED(502),
    /** The deadline passed before the runner responded. */
    DEADLINE_EXCEEDED(504),
    /** An earlier request with this key is running, or its outcome is unknown. */
    IN_PROGRESS_OR_UNKNOWN(409),
    /** An earlier request with this key was executed, but its response was too large to be recorded. */
    ANSWER_NOT_RECORDED(409),
    /** The key was used for another request. */
    KEY_REUSED(422),
    /** An internal error of this node. */
    INTERNAL(500);

    private final int status;

    RequestErrorCode(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }
}
