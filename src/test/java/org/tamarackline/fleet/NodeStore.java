package org.tamarackline.fleet;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Access of one node to the shared store: responses arrive on the node's loop. The store may refuse the node, or only its
 * transactions.
 */
final class NodeStore implements RecordStore {

    /** What becomes of the node's transactions. */
    enum Writes {
        /** They are executed and answered. */
        ANSWERED,
        /** They are refused. */
        REFUSED,
        /** They are refused because of too many calls. */
        REFUSED_AS_TOO_MANY,
        /** They are neither executed nor answered. */
        LOST,
        /** They are executed and not answered. */
        ANSWER_LOST,
        /** They are executed seconds later if their conditions still hold, and not answered. */
        LATE
    }

    private static final Duration LATENCY = Duration.ofMillis(5);
    private static final Duration TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration LATE_BY = Duration.ofSeconds(4);
    private static final String REFUSAL = "status 503";

    private final RecordStore shared;
    private final EventLoop loop;
    private boolean refused;
    private Writes writes = Writes.ANSWERED;
    private BooleanSupplier fails = () -> true;
    /** What becomes of the next transactions before {@link #writes} applies. */
    private Writes nextWrites = Writes.ANSWERED;

    private int nextWriteCount;
    private boolean openConnectionsSilentForWrites;

    NodeStore(RecordStore shared, EventLoop loop) {
        this.shared = shared;
        this.loop = loop;
    }

    /** Makes the store refuse all further calls of the node, or ends that. */
    void setRefused(boolean next) {
        refused = next;
    }

    /** Sets what becomes of all further transactions of the node; its reads are answered. */
    void setWrites(Writes next) {
        setWrites(next, () -> true);
    }

    /**
     * Sets what becomes of some of the further transactions of the node; its other calls are answered.
     *
     * @param affects returns whether the next transaction is one of them
     */
    void setWrites(Writes next, BooleanSupplier affects) {
        writes = next;
        fails = affects;
    }

    /** Sets what becomes of the next transactions of the node. */
    void setNextWrites(int count, Writes next) {
        nextWriteCount = count;
        nextWrites = next;
    }

    /** Makes the store neither execute nor answer transactions on open connections; new connections work. */
    void setOpenConnectionsSilentForWrites() {
        openConnectionsSilentForWrites = true;
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
        if (openConnectionsSilentForWrites) {
            endUnanswered(callback);
        } else {
            transactOnNewConnection(transaction, callback);
        }
    }

    @Override
    public void transactOnNewConnection(Transaction transaction, Consumer<TransactionResult> callback) {
        if (refused) {
            loop.schedule(LATENCY, () -> callback.accept(new TransactionResult.NotApplied(REFUSAL)));
            return;
        }
        switch (nextOutcome()) {
            case ANSWERED -> shared.transact(transaction, result -> loop.execute(() -> callback.accept(result)));
            case REFUSED -> loop.schedule(LATENCY, () -> callback.accept(new TransactionResult.NotApplied(REFUSAL)));
            case REFUSED_AS_TOO_MANY ->
                loop.schedule(LATENCY, () -> callback.accept(new TransactionResult.NotApplied("status 429", true)));
            case LOST -> endUnanswered(callback);
            case ANSWER_LOST -> {
                shared.transact(transaction, result -> {});
                endUnanswered(callback);
            }
            case LATE -> {
                loop.schedule(LATE_BY, () -> shared.transact(transaction, result -> {}));
                endUnanswered(callback);
            }
            default -> throw new AssertionError(writes);
        }
    }

    private Writes nextOutcome() {
        if (nextWriteCount-- > 0) {
            return nextWrites;
        }
        return fails.getAsBoolean() ? writes : Writes.ANSWERED;
    }

    private void endUnanswered(Consumer<TransactionResult> callback) {
        loop.schedule(TIMEOUT, () -> callback.accept(new TransactionResult.Unknown("no answer")));
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
