package org.tamarackline.peer;

/** A call to another node that did not return an answer. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Why the call failed. */
    public enum Reason {
        /** No connection could be opened; the peer did not see the call. */
        UNREACHABLE,
        /** No answer came in time; the peer may have acted. */
        TIMEOUT,
        /** The connection broke after the call was sent; the peer may have acted. */
        BROKEN,
        /** The handshake failed: wrong protocol version or key. */
        HANDSHAKE_REJECTED,
        /** The peer sent something that is not a valid message, or refused ours as such. */
        INVALID_MESSAGE,
        /** The peer answered with an error. */
        REFUSED
    }

    private final Reason reason;

    /** Creates the exception; {@code cause} may be null. */
    public PeerException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns why the call failed. */
    public Reason reason() {
        return reason;
    }
}
