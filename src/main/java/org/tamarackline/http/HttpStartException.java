package org.tamarackline.http;

/** A listener could not open its address, or a client could not start. */
public final class HttpStartException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure. */
    public HttpStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
