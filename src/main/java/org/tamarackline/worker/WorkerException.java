package org.tamarackline.worker;

/** Thrown if a command to a worker was not executed, or may not have been. */
public abstract sealed class WorkerException extends Exception
        permits WorkerRefusedException, WorkerUnreachableException, WorkerOutcomeUnknownException {

    private static final long serialVersionUID = 1L;

    WorkerException(String message, Throwable cause) {
        super(message, cause);
    }
}
