package org.tamarackline.store;

/** The platform could not be reached or refused the call; nothing took effect. */
public final class PlatformUnavailableException extends PlatformException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code cause} may be null. */
    public PlatformUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
