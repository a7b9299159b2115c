package org.tamarackline.worker;

/** No whole and valid answer came in time; the worker may act on the command now or later. */
public final class WorkerOutcomeUnknownException extends WorkerException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code cause} may be null. */
    public WorkerOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
