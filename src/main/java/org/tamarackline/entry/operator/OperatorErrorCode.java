package org.tamarackline.entry.operator;

/** Why an operator's request was refused. */
public enum OperatorErrorCode {
    /** Another change came first, or this node does not have the version yet. */
    VERSION_CONFLICT(409),
    /** Something that is to be retired is still in use. */
    IN_USE(409),
    /** The request has values that are not allowed. */
    INVALID(422),
    /** The node that was said to have stopped still runs. */
    NODE_LIVE(409),
    /** There is nothing of this name. */
    NOT_FOUND(404),
    /** This node has learnt no configuration yet. */
    NO_CONFIGURATION(503),
    /** The platform is out of reach, so nothing can be changed. */
    PLATFORM_UNAVAILABLE(503),
    /** The answer of the platform was lost; the change may have been accepted. */
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
