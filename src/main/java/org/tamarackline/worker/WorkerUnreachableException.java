package org.tamarackline.worker;

/** No connection to the worker could be opened; nothing was sent. */
public final class WorkerUnreachableException extends WorkerException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code cause} may be null. */
    public WorkerUnreachableException(String message, Throwable cause) {
        super(message, cause);
    }
}
