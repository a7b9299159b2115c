package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads and replaces the leader record in the store. */
final class LeaderRecordStore {

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
        Runnable onRepetition = () -> log.readRepeated("leader record", HedgedRead.ATTEMPT_TIMEOUT.toMillis());
        String end = LeaderRecord.KEY + "\u0000";
        RepeatedRead.ofTable(loop, store, RecordStore.Table.JOBS, LeaderRecord.KEY, end, onRepetition, result -> {
            metrics.readCompleted(FleetMetrics.ReadPurpose.LEADER_RECORD, FleetMetrics.ReadOutcome.of(result));
            callback.accept(result);
        });
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
     */
    void replace(
            LeaderRecord record,
            long version,
            FleetMetrics.TransactionPurpose purpose,
            Consumer<RecordStore.TransactionResult> callback) {
        List<RecordStore.Condition> conditions = new ArrayList<>();
        conditions.add(new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, version));
        if (version == 0) {
            conditions.add(new RecordStore.Condition(RecordStore.Table.PROGRESS, CommitSequence.KEY, 0));
        }
        long sentNanos = loop.nowNanos();
        store.transact(
                new RecordStore.Transaction(conditions, List.of(write(RecordCodec.encodeLeader(record)))), result -> {
                    metrics.transactionCompleted(
                            purpose, FleetMetrics.TransactionOutcome.of(result), loop.nowNanos() - sentNanos);
                    callback.accept(result);
                });
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

    /** Returns whether the records that a transaction found instead contain a leader record. */
    static boolean containsLeader(RecordStore.TransactionResult.Conflict conflict) {
        return conflict.current().stream().anyMatch(entry -> entry.key().equals(LeaderRecord.KEY) && !entry.removed());
    }
}
