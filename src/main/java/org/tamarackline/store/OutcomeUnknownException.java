package org.tamarackline.store;

/** A write whose answer was lost and which could not be settled by reading back its token; it may have taken effect. */
public final class OutcomeUnknownException extends PlatformException {

    private static final long serialVersionUID = 1L;

    private final String token;

    /** Creates the exception for the write that carried {@code token}; {@code cause} may be null. */
    public OutcomeUnknownException(String token, Throwable cause) {
        super("outcome of transaction %s is unknown; read its token back before relying on it".formatted(token), cause);
        this.token = token;
    }

    /** Returns the token of the write, to be read back. */
    public String token() {
        return token;
    }
}
