package org.tamarackline.store;

/**
 * Thrown if the response to a transaction was lost and its token did not show the outcome; it may have been applied.
 */
public final class OutcomeUnknownException extends PlatformException {

    private static final long serialVersionUID = 1L;

    private final String token;

    /** Creates the exception for the transaction with {@code token}; {@code cause} may be null. */
    public OutcomeUnknownException(String token, Throwable cause) {
        super("outcome of transaction %s is unknown; read its token before relying on it".formatted(token), cause);
        this.token = token;
    }

    /** Returns the token of the transaction, which the caller can read to resolve the outcome. */
    public String token() {
        return token;
    }
}
