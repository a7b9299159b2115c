package org.tamarackline.entry;

/** Thrown if a node could not be started. */
public final class NodeStartException extends Exception {

    private static final long serialVersionUID = 1L;

    public NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
