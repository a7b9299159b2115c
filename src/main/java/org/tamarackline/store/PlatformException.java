package org.tamarackline.store;

/** Thrown if a call to the platform fails. */
public abstract sealed class PlatformException extends Exception
        permits PlatformUnavailableException, OutcomeUnknownException, TransactionConflictException {

    private static final long serialVersionUID = 1L;

    PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
