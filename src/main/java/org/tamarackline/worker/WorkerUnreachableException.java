package org.tamarackline.worker;

/** Thrown if no connection to the worker could be opened; the command was not sent. */
public final class WorkerUnreachableException extends WorkerException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code cause} may be null. */
    public WorkerUnreachableException(String message, Throwable cause) {
        super(message, cause);
    }
}
