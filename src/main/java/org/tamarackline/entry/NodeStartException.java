package org.tamarackline.entry;

/** A node that could not be started. */
public final class NodeStartException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
