package org.tamarackline.fleet;

/** Thrown when a record of the store cannot be decoded. */
final class CorruptRecordException extends Exception {

    private static final long serialVersionUID = 1L;

    CorruptRecordException(String key, Throwable cause) {
        super(
                "record %s cannot be decoded; it may have been written by another version (%s)"
                        .formatted(key, cause.getMessage()),
                cause);
    }
}
