package org.tamarackline.store;

/**
 * Thrown if the platform could not be reached, refused the call or did not respond in time. A transaction that fails
 * with it was not applied; the write of an object may have been.
 */
public final class PlatformUnavailableException extends PlatformException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception; {@code cause} may be null. */
    public PlatformUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
