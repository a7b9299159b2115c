package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads and replaces the leader record in the store. */
final class LeaderRecordStore {

    /** End of the range of keys that has only the record. */
    private static final String END = LeaderRecord.KEY + "\u0000";

    /** An epoch that is out of range, and nothing else. */
    private static final byte[] UNREADABLE_RECORD = {0};

    private final RecordStore store;
    private final EventLoop loop;
    private final DecisionLog log;
    private final FleetMetrics metrics;

    LeaderRecordStore(NodeServices services) {
        this.store = services.store();
        this.loop = services.loop();
        this.log = services.log();
        this.metrics = services.metrics();
    }

    /** Reads the record; the page is empty if there is none. */
    void read(Consumer<RecordStore.ReadResult> callback) {
        read(false, callback);
    }

    /**
     * Reads the record as {@link #read(Consumer)} does.
     *
     * @param newConnection whether the first attempt opens a connection, as further ones always do
     */
    void read(boolean newConnection, Consumer<RecordStore.ReadResult> callback) {
        RepeatedRead.start(
                loop,
                newConnection ? this::readOnNewConnection : this::readOnOpenConnection,
                this::readOnNewConnection,
                result -> !(result instanceof RecordStore.ReadResult.Failed),
                () -> log.readRepeated("leader record", HedgedRead.ATTEMPT_TIMEOUT.toMillis()),
                result -> {
                    metrics.readCompleted(FleetMetrics.ReadPurpose.LEADER_RECORD, FleetMetrics.ReadOutcome.of(result));
                    callback.accept(result);
                });
    }

    private void readOnOpenConnection(Consumer<RecordStore.ReadResult> callback) {
        store.read(RecordStore.Table.JOBS, LeaderRecord.KEY, END, callback);
    }

    private void readOnNewConnection(Consumer<RecordStore.ReadResult> callback) {
        store.readOnNewConnection(RecordStore.Table.JOBS, LeaderRecord.KEY, END, callback);
    }

    /**
     * Decodes the leader record. Every claim raises the epoch by one in a transaction of its own, so an epoch above the
     * record's version was not written by a node.
     */
    static LeaderRecord decode(RecordStore.Entry entry) throws CorruptRecordException {
        LeaderRecord record = RecordCodec.decodeLeader(entry.value());
        if (record.epoch() > entry.version()) {
            throw new CorruptRecordException(
                    entry.key(), new IllegalArgumentException("the epoch is higher than the record's version"));
        }
        return record;
    }

    /**
     * Replaces the record if it has the given version. Where there is none, no leader may have stored anything either,
     * because the record of a leader may have been removed.
     *
     * @param version required version, 0 if there must be no record
     * @param newConnection whether to open a connection for it, because open ones may have gone silent
     */
    void replace(
            LeaderRecord record,
            long version,
            FleetMetrics.TransactionPurpose purpose,
            boolean newConnection,
            Consumer<RecordStore.TransactionResult> callback) {
        List<RecordStore.Condition> conditions = new ArrayList<>();
        conditions.add(new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, version));
        if (version == 0) {
            conditions.add(new RecordStore.Condition(RecordStore.Table.PROGRESS, CommitSequence.KEY, 0));
        }
        long sentNanos = loop.nowNanos();
        RecordStore.Transaction transaction =
                new RecordStore.Transaction(conditions, List.of(write(RecordCodec.encodeLeader(record))));
        Consumer<RecordStore.TransactionResult> onResult = result -> {
            metrics.transactionCompleted(
                    purpose, FleetMetrics.TransactionOutcome.of(result), loop.nowNanos() - sentNanos);
            callback.accept(result);
        };
        if (newConnection) {
            store.transactOnNewConnection(transaction, onResult);
        } else {
            store.transact(transaction, onResult);
        }
    }

    /**
     * Writes a record that cannot be decoded in place of one that was removed. Its version is higher than that of every
     * earlier claim, whose epochs are not known.
     */
    void replaceRemoved(Runnable callback) {
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, 0)),
                List.of(write(UNREADABLE_RECORD)));
        store.transact(transaction, result -> callback.run());
    }

    private static RecordStore.Write write(byte[] value) {
        return new RecordStore.Write(RecordStore.Table.JOBS, LeaderRecord.KEY, value);
    }

    /** Returns the leader record that a transaction found instead of the required one; empty if there was none. */
    static Optional<RecordStore.Entry> leaderEntry(RecordStore.TransactionResult.Conflict conflict) {
        return conflict.current().stream()
                .filter(entry -> entry.key().equals(LeaderRecord.KEY) && !entry.removed())
                .findFirst();
    }
}
