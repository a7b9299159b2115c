package org.tamarackline.entry;

/** Codes of errors that occur before a request reaches a resource, or that a resource did not handle. */
public enum ErrorCode {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The credential is missing or wrong. */
    UNAUTHORIZED(401),
    /** There is nothing at this path. */
    NOT_FOUND(404),
    /** The path does not support this method. */
    METHOD_NOT_ALLOWED(405),
    /** The response has no format that the request accepts. */
    NOT_ACCEPTABLE(406),
    /** The body did not arrive in time. */
    REQUEST_TIMEOUT(408),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413),
    /** The path is longer than allowed. */
    PATH_TOO_LONG(414),
    /** The path does not accept bodies of this format. */
    UNSUPPORTED_MEDIA_TYPE(415),
    /** The headers are larger than allowed. */
    HEADERS_TOO_LARGE(431),
    /** The node failed while it handled the request. */
    INTERNAL(500),
    /** The node is shutting down. */
    DRAINING(503);

    private final int status;

    ErrorCode(int status) {
        this.status = status;
    }

    /** Returns the HTTP status that goes with the code. */
    public int status() {
        return status;
    }

    /** Returns the code for an HTTP status. */
    public static ErrorCode ofStatus(int status) {
        for (ErrorCode code : values()) {
            if (code.status == status) {
                return code;
            }
        }
        return status >= INTERNAL.status ? INTERNAL : BAD_REQUEST;
    }
}
