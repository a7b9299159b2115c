package org.tamarackline.fleet;

import java.time.Duration;
import java.util.function.Consumer;

/** Access of one node to the shared store: responses arrive on the node's loop. The store may refuse the node. */
final class NodeStore implements RecordStore {

    private static final Duration LATENCY = Duration.ofMillis(5);
    private static final String REFUSAL = "status 503";

    private final RecordStore shared;
    private final EventLoop loop;
    private boolean refused;

    NodeStore(RecordStore shared, EventLoop loop) {
        this.shared = shared;
        this.loop = loop;
    }

    /** Makes the store refuse all further calls of the node, or ends that. */
    void setRefused(boolean next) {
        refused = next;
    }

    /** Returns whether the store refuses the calls of the node. */
    boolean refused() {
        return refused;
    }

    @Override
    public StoreClock clock() {
        return shared.clock();
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
        if (refused) {
            loop.schedule(LATENCY, () -> callback.accept(new TransactionResult.NotApplied(REFUSAL)));
            return;
        }
        shared.transact(transaction, result -> loop.execute(() -> callback.accept(result)));
    }

    @Override
    public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
        if (refused) {
            loop.schedule(LATENCY, () -> callback.accept(new ReadResult.Failed(REFUSAL)));
            return;
        }
        shared.read(table, from, to, result -> loop.execute(() -> callback.accept(result)));
    }

    @Override
    public void readOnNewConnection(Table table, String from, String to, Consumer<ReadResult> callback) {
        if (refused) {
            loop.schedule(LATENCY, () -> callback.accept(new ReadResult.Failed(REFUSAL)));
            return;
        }
        shared.readOnNewConnection(table, from, to, result -> loop.execute(() -> callback.accept(result)));
    }

    @Override
    public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
        if (refused) {
            loop.schedule(LATENCY, () -> callback.accept(new ReadResult.Failed(REFUSAL)));
            return;
        }
        shared.follow(table, afterVersion, wait, result -> loop.execute(() -> callback.accept(result)));
    }

    @Override
    public void readChangesOnNewConnection(Table table, long afterVersion, Consumer<ReadResult> callback) {
        follow(table, afterVersion, Duration.ZERO, callback);
    }
}
