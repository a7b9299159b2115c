package org.tamarackline.cli;

/** A command line that cannot be carried out as written. */
public final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code message} says how to correct the command line. */
    public UsageException(String message) {
        super(message);
    }
}
