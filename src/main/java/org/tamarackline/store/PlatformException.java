package org.tamarackline.store;

/** A call to the platform that did not succeed. */
public abstract sealed class PlatformException extends Exception
        permits PlatformUnavailableException, OutcomeUnknownException, TransactionConflictException {

    private static final long serialVersionUID = 1L;

    PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
