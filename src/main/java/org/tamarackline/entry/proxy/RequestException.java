package org.tamarackline.entry.proxy;

import org.tamarackline.entry.Executed;

/** A quick request that ends with an error of the system. */
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

    /** Returns an exception for a request that was not run. */
    public static RequestException notExecuted(RequestErrorCode code, String message) {
        return new RequestException(code, Executed.NO, message);
    }

    /** Returns the kind of error. */
    public RequestErrorCode code() {
        return code;
    }

    /** Returns what is known about the execution. */
    public Executed executed() {
        return executed;
    }
}
