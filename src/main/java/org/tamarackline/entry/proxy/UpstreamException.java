package org.tamarackline.entry.proxy;

import org.tamarackline.entry.Executed;

/** Thrown when a request got no response from a runner. */
public final class UpstreamException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Why there was no response. */
    public enum Reason {
        /** No connection could be opened or none was free. */
        UNREACHABLE,
        /** The {@link UpstreamClient.SendCheck} did not allow the send. */
        NOT_ADMITTED,
        /** The deadline passed. */
        TIMEOUT,
        /** The connection broke, or the response was not valid HTTP. */
        BROKEN,
        /** The caller's body could not be read. */
        CALLER_BODY_FAILED
    }

    private final Reason reason;
    private final Executed executed;

    /** Creates the exception. */
    public UpstreamException(Reason reason, Executed executed, String message, Throwable cause) {
        super(message, cause, false, false);
        this.reason = reason;
        this.executed = executed;
    }

    /** Returns why there was no response. */
    public Reason reason() {
        return reason;
    }

    /** Returns {@link Executed#NO} only if no byte was handed to a connection. */
    public Executed executed() {
        return executed;
    }
}
