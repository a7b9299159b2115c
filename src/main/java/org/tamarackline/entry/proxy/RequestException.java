package org.tamarackline.entry.proxy;

import org.tamarackline.entry.Executed;

/** Thrown when a latency-critical request fails in this node; becomes the {@link ErrorBody} that the caller gets. */
public final class RequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final RequestErrorCode code;
    private final Executed executed;

    /** Creates the exception; the message goes to the caller. */
    public RequestException(RequestErrorCode code, Executed executed, String message) {
        super(message, null, false, false);
        this.code = code;
        this.executed = executed;
    }

    /** Returns an exception for a request that was not executed. */
    public static RequestException notExecuted(RequestErrorCode code, String message) {
        return new RequestException(code, Executed.NO, message);
    }

    /** Returns the error code. */
    public RequestErrorCode code() {
        return code;
    }

    /** Returns whether the request was executed, as far as this node knows. */
    public Executed executed() {
        return executed;
    }
}
