package org.tamarackline.cli;

/** Thrown if the command line is not valid. */
public final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} tells the user how to correct the command line. */
    public UsageException(String message) {
        super(message);
    }
}
