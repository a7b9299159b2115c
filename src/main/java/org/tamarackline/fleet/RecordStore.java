package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.ProgressLayout;

/**
 * Store of versioned records that all nodes share. Results arrive on the event loop.
 *
 * <p>Versions come from one counter that increases with each transaction.
 */
public interface RecordStore {

    /** Applies a transaction of at most {@link #MAX_TRANSACTION_RECORDS} records. */
    void transact(Transaction transaction, Consumer<TransactionResult> callback);

    /**
     * Applies a transaction as {@link #transact} does, but over a connection that is opened for it, because connections that
     * are already open may have gone silent.
     */
    void transactOnNewConnection(Transaction transaction, Consumer<TransactionResult> callback);

    /**
     * Reads the records of a table from {@code from} (inclusive) to {@code to} (exclusive, null for no bound), in key
     * order.
     */
    void read(Table table, String from, String to, Consumer<ReadResult> callback);

    /**
     * Reads as {@link #read} does, but over a connection that is opened for it, because connections that are already open
     * may have gone silent.
     */
    void readOnNewConnection(Table table, String from, String to, Consumer<ReadResult> callback);

    /**
     * Reads the changes of a table after a version; waits for a change if there is none.
     *
     * @param wait longest time to wait
     */
    void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback);

    /**
     * Reads the changes of a table after a version as {@link #follow} does, but without waiting for one and over a
     * connection that is opened for it.
     */
    void readChangesOnNewConnection(Table table, long afterVersion, Consumer<ReadResult> callback);

    /** Returns bounds on the store's steady clock, derived from its responses. */
    StoreClock clock();

    /** Maximum number of records in a transaction, conditions and writes together. */
    int MAX_TRANSACTION_RECORDS = 100;

    /** Maximum size of a record in bytes, such that its text encoding stays within the store's limit. */
    int MAX_RECORD_BYTES = ProgressLayout.MAX_RECORD_BYTES;

    /**
     * Maximum size of the records that a transaction writes, in bytes, such that their text encoding stays within the
     * store's limit of a megabyte.
     */
    int MAX_TRANSACTION_BYTES = 600_000;

    /** Tables of the store. */
    enum Table {
        /** Accepted and finished jobs, their cancellations, and the leader record. */
        JOBS,
        /** Progress of open jobs. */
        PROGRESS,
        /** Runners that a leader may have sent commands to. */
        ROSTER,
        /** Limit of the runner leases, stored apart from the jobs so that it does not wait for their transactions. */
        LEASES,
        /** Configuration that operators write. */
        CONFIGURATION
    }

    /**
     * A record of a table.
     *
     * @param table table of the record
     * @param key key within the table
     * @param value content, empty if the record was removed
     * @param version version of the transaction that wrote it
     * @param removed whether the record no longer exists
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Entry(Table table, String key, byte[] value, long version, boolean removed) {

        /** Describes the record without its content, for the log. */
        @Override
        public String toString() {
            return "%s %s version %d%s".formatted(table, key, version, removed ? " (removed)" : "");
        }
    }

    /**
     * Condition on the version of a record.
     *
     * @param table table of the record
     * @param key key within the table
     * @param version required version, 0 if the record must not exist
     */
    record Condition(Table table, String key, long version) {}

    /**
     * A record to write or remove.
     *
     * @param table table of the record
     * @param key key within the table
     * @param value new content, null to remove the record
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Write(Table table, String key, byte[] value) {

        /**
         * Checks the size of the content.
         *
         * @throws RecordTooLargeException if it exceeds {@link #MAX_RECORD_BYTES}
         */
        public Write {
            if (value != null && value.length > MAX_RECORD_BYTES) {
                throw new RecordTooLargeException(table, key, value.length);
            }
        }
    }

    /**
     * Writes that are applied atomically if all conditions hold.
     *
     * @param conditions conditions to check
     * @param writes records to write or remove
     */
    record Transaction(List<Condition> conditions, List<Write> writes) {

        /** Copies the lists, so that later changes to them do not affect the transaction. */
        public Transaction {
            conditions = List.copyOf(conditions);
            writes = List.copyOf(writes);
        }
    }

    /** Outcome of a transaction. */
    sealed interface TransactionResult {

        /**
         * The transaction was applied.
         *
         * @param version version of the transaction
         */
        record Applied(long version) implements TransactionResult {}

        /**
         * A condition did not hold; nothing was written.
         *
         * @param current current versions of the records that the conditions name
         */
        record Conflict(List<Entry> current) implements TransactionResult {}

        /**
         * Nothing was written and nothing will be.
         *
         * @param cause explanation by the store
         * @param busy whether the store only has too many transactions to execute
         */
        record NotApplied(String cause, boolean busy) implements TransactionResult {

            /** Creates the result of a store that is not busy, but refuses the transaction or is not reached. */
            public NotApplied(String cause) {
                this(cause, false);
            }
        }

        /**
         * Nothing was written, because the store does not accept the transaction whenever it is sent.
         *
         * @param cause explanation by the store
         */
        record Rejected(String cause) implements TransactionResult {}

        /**
         * The transaction may have been applied, or may still be while its conditions hold.
         *
         * @param cause cause of the failure
         */
        record Unknown(String cause) implements TransactionResult {}
    }

    /** Outcome of a read. */
    sealed interface ReadResult {

        /**
         * Records of one consistent snapshot.
         *
         * @param entries records in key order, or in the order of their changes
         * @param version newest version of the store, or the version from which to follow further changes
         * @param truncated whether more records follow
         */
        record Page(List<Entry> entries, long version, boolean truncated) implements ReadResult {}

        /** The store no longer has the changes after the requested version. */
        record HistoryLost() implements ReadResult {}

        /**
         * The read failed.
         *
         * @param cause cause of the failure
         */
        record Failed(String cause) implements ReadResult {}
    }
}
