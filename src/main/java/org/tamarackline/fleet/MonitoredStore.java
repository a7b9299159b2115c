package org.tamarackline.fleet;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Access to the store that records in a {@link StoreContact} which calls are answered.
 *
 * @param store store to access
 * @param contact record of the answers
 */
record MonitoredStore(RecordStore store, StoreContact contact) implements RecordStore {

    @Override
    public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
        store.transact(transaction, recorded(callback));
    }

    @Override
    public void transactOnNewConnection(Transaction transaction, Consumer<TransactionResult> callback) {
        store.transactOnNewConnection(transaction, recorded(callback));
    }

    /** Records that a transaction is sent now, and returns a callback that records its result. */
    private Consumer<TransactionResult> recorded(Consumer<TransactionResult> callback) {
        long sentNanos = contact.nowNanos();
        contact.unansweredWrites().onSent();
        return result -> {
            recordResult(result, sentNanos);
            callback.accept(result);
        };
    }

    private void recordResult(TransactionResult result, long sentNanos) {
        switch (result) {
            case TransactionResult.Applied applied -> recordAnsweredWrite(sentNanos);
            case TransactionResult.Conflict conflict -> recordAnsweredWrite(sentNanos);
            case TransactionResult.Rejected rejected -> recordAnsweredWrite(sentNanos);
            case TransactionResult.NotApplied notApplied -> {
                if (!notApplied.busy()) {
                    contact.onFailure();
                }
            }
            case TransactionResult.Unknown unknown -> {
                // A slow store executes transactions late while it answers reads.
                if (!contact.answeredSince(sentNanos)) {
                    contact.onFailure();
                }
            }
        }
    }

    private void recordAnsweredWrite(long sentNanos) {
        contact.unansweredWrites().onAnswered(sentNanos);
        contact.onAnswer();
    }

    @Override
    public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
        store.read(table, from, to, result -> recordRead(result, callback));
    }

    @Override
    public void readOnNewConnection(Table table, String from, String to, Consumer<ReadResult> callback) {
        store.readOnNewConnection(table, from, to, result -> recordRead(result, callback));
    }

    @Override
    public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
        store.follow(table, afterVersion, wait, result -> recordRead(result, callback));
    }

    @Override
    public void readChangesOnNewConnection(Table table, long afterVersion, Consumer<ReadResult> callback) {
        store.readChangesOnNewConnection(table, afterVersion, result -> recordRead(result, callback));
    }

    private void recordRead(ReadResult result, Consumer<ReadResult> callback) {
        if (result instanceof ReadResult.Failed) {
            contact.onFailure();
        } else {
            contact.onAnswer();
        }
        callback.accept(result);
    }

    @Override
    public StoreClock clock() {
        return store.clock();
    }
}
