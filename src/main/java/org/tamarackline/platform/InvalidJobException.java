package org.tamarackline.platform;

/** Thrown if a submitted job is not valid. The message is returned to the caller and tells what to correct. */
final class InvalidJobException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidJobException(String message) {
        super(message);
    }
}
