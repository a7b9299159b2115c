package org.tamarackline.fleet;

/** A record exceeds {@link RecordStore#MAX_RECORD_BYTES}, so that the store would reject each transaction with it. */
final class RecordTooLargeException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    RecordTooLargeException(RecordStore.Table table, String key, int bytes) {
        super("record %s of %s takes %d bytes, more than the maximum of %d"
                .formatted(key, table, bytes, RecordStore.MAX_RECORD_BYTES));
    }
}
