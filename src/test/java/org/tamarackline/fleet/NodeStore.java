package org.tamarackline.fleet;

import java.time.Duration;
import java.util.function.Consumer;

/** Access of one node to the shared store: responses arrive on the node's loop. */
record NodeStore(RecordStore shared, EventLoop loop) implements RecordStore {

    @Override
    public StoreClock clock() {
        return shared.clock();
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
        shared.transact(transaction, result -> loop.execute(() -> callback.accept(result)));
    }

    @Override
    public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
        shared.read(table, from, to, result -> loop.execute(() -> callback.accept(result)));
    }

    @Override
    public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
        shared.follow(table, afterVersion, wait, result -> loop.execute(() -> callback.accept(result)));
    }
}
