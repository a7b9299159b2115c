package org.tamarackline.entry.operator;

/** Codes of the errors with which operators' requests are refused. */
public enum OperatorErrorCode {
    /** Another change came first, or this node has not received the version yet. */
    VERSION_CONFLICT(409),
    /** The entry to be retired is still in use. */
    IN_USE(409),
    /** The request has values that are not allowed. */
    INVALID(422),
    /** The node that was confirmed as stopped is still running. */
    NODE_LIVE(409),
    /** Nothing has this name or identifier. */
    NOT_FOUND(404),
    /** This node has received no configuration yet. */
    NO_CONFIGURATION(503),
    /** The platform is unreachable; nothing was changed. */
    PLATFORM_UNAVAILABLE(503),
    /** The platform's response was lost; the change may have been accepted. */
    OUTCOME_UNKNOWN(503);

    private final int status;

    OperatorErrorCode(int status) {
        this.status = status;
    }

    /** Returns the HTTP status that goes with the code. */
    public int status() {
        return status;
    }
}
