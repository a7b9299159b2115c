package org.tamarackline.fleet;

/** A record of the store cannot be read. */
final class CorruptRecordException extends Exception {

    private static final long serialVersionUID = 1L;

    CorruptRecordException(String key, Throwable cause) {
        super("record %s cannot be read; was it written by another version?".formatted(key), cause);
    }
}
