package org.tamarackline.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

/** The limits of the platform's store on records and transactions, by the narrower reading of each. */
final class StoreLimits {

    private static final int MAX_TEXT_BYTES = 65_536;
    private static final int MAX_KEY_BYTES = 200;
    private static final int MAX_TRANSACTION_BYTES = 1_000_000;

    /** Size of the names around a record or a condition in the text of a transaction. */
    private static final int ENTRY_BYTES = 80;

    private StoreLimits() {}

    /** Returns the answer to a transaction beyond the limits; empty if it is within them. */
    static Optional<RecordStore.TransactionResult> rejection(RecordStore.Transaction transaction) {
        int entries = transaction.conditions().size() + transaction.writes().size();
        long bytes = (long) entries * ENTRY_BYTES;
        boolean rejected = entries > RecordStore.MAX_TRANSACTION_RECORDS;
        for (RecordStore.Write write : transaction.writes()) {
            int keyBytes = write.key().getBytes(StandardCharsets.UTF_8).length;
            int textBytes = write.value() == null ? 0 : Base64.getEncoder().encode(write.value()).length;
            rejected |= keyBytes > MAX_KEY_BYTES || textBytes > MAX_TEXT_BYTES;
            bytes += keyBytes + textBytes;
        }
        rejected |= bytes > MAX_TRANSACTION_BYTES;
        return rejected ? Optional.of(new RecordStore.TransactionResult.Rejected("status 400")) : Optional.empty();
    }
}
