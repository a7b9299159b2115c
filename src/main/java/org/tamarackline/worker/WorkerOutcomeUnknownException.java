package org.tamarackline.worker;

/** Thrown if no complete and valid response arrived in time; the worker may execute the command now or later. */
public final class WorkerOutcomeUnknownException extends WorkerException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code cause} may be null. */
    public WorkerOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
