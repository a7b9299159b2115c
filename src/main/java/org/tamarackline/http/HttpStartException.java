package org.tamarackline.http;

/** Thrown if a listener cannot open its addresses or a client cannot start. */
public final class HttpStartException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public HttpStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
