package org.tamarackline.worker;

/** A command to a worker that was not carried out, or may not have been. */
public abstract sealed class WorkerException extends Exception
        permits WorkerRefusedException, WorkerUnreachableException, WorkerOutcomeUnknownException {

    private static final long serialVersionUID = 1L;

    WorkerException(String message, Throwable cause) {
        super(message, cause);
    }
}
