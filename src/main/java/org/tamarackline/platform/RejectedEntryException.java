package org.tamarackline.platform;

/** Thrown if a directory entry or a status of a runner is not usable. The message is one of a few fixed texts. */
final class RejectedEntryException extends Exception {

    private static final long serialVersionUID = 1L;

    RejectedEntryException(String message) {
        super(message);
    }
}
