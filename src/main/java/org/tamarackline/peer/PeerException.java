package org.tamarackline.peer;

/** Thrown if a call to another node fails. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Reason for the failure. */
    public enum Reason {
        /** No connection could be opened or the request was not sent; the peer has not received it. */
        UNREACHABLE,
        /** No response arrived in time; the peer may have executed the request. */
        TIMEOUT,
        /** The connection was lost during the call; the peer may have executed the request. */
        BROKEN,
        /** The handshake failed: wrong protocol version or key. */
        HANDSHAKE_REJECTED,
        /** The peer sent an invalid message, or rejected the request as invalid or unknown. */
        INVALID_MESSAGE,
        /** The peer was overloaded or failed to handle the request. */
        REFUSED
    }

    private final Reason reason;

    /** Creates the exception; {@code cause} may be null. */
    public PeerException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns the reason for the failure. */
    public Reason reason() {
        return reason;
    }
}
