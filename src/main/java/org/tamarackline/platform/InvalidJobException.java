package org.tamarackline.platform;

/** A submitted job cannot be decoded; the message says what to change. */
final class InvalidJobException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidJobException(String message) {
        super(message);
    }
}
