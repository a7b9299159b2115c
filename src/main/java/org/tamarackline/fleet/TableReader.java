package org.tamarackline.fleet;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Reads whole tables page by page, and retries until the store answers. */
final class TableReader {

    /** Processes one record. */
    interface EntryReader {
        void read(RecordStore.Entry entry) throws CorruptRecordException;
    }

    private final EventLoop loop;
    private final RecordStore store;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final BooleanSupplier ended;
    private final Runnable onResponse;

    /**
     * Creates a reader.
     *
     * @param ended whether to stop reading
     * @param onResponse runs at each response of the store
     */
    TableReader(NodeServices services, BooleanSupplier ended, Runnable onResponse) {
        this.loop = services.loop();
        this.store = services.store();
        this.log = services.log();
        this.metrics = services.metrics();
        this.ended = ended;
        this.onResponse = onResponse;
    }

    /**
     * Reads a table; {@code callback} receives the version of its first page, from which changes are to be followed.
     */
    void readAll(RecordStore.Table table, EntryReader reader, Consumer<Long> callback) {
        readFrom(table, "", -1, reader, callback);
    }

    private void readFrom(
            RecordStore.Table table, String from, long firstVersion, EntryReader reader, Consumer<Long> callback) {
        if (ended.getAsBoolean()) {
            return;
        }
        Runnable onRepetition = () -> log.readRepeated(table.toString(), HedgedRead.ATTEMPT_TIMEOUT.toMillis());
        RepeatedRead.ofTable(loop, store, table, from, null, onRepetition, result -> {
            metrics.readCompleted(FleetMetrics.ReadPurpose.TABLE, FleetMetrics.ReadOutcome.of(result));
            if (ended.getAsBoolean()) {
                return;
            }
            if (!(result instanceof RecordStore.ReadResult.Page page)) {
                log.storeState("takeover-read-failing", result.toString());
                loop.schedule(
                        FleetConstants.STORE_RETRY_DELAY, () -> readFrom(table, from, firstVersion, reader, callback));
                return;
            }
            onResponse.run();
            page.entries().forEach(entry -> readEntry(entry, reader));
            long version = firstVersion < 0 ? page.version() : firstVersion;
            if (page.truncated() && !page.entries().isEmpty()) {
                // The smallest key after the last one of the page.
                String next = page.entries().getLast().key() + "\u0000";
                readFrom(table, next, version, reader, callback);
            } else {
                callback.accept(version);
            }
        });
    }

    /**
     * Passes a record to a reader. A record that cannot be decoded or applied is skipped and logged: every later reader
     * of the table would fail on it as well, so that no node could take over.
     */
    void readEntry(RecordStore.Entry entry, EntryReader reader) {
        try {
            reader.read(entry);
        } catch (CorruptRecordException corrupt) {
            log.skippedRecord(entry.key(), corrupt.getMessage());
        } catch (RuntimeException failure) {
            log.skippedRecord(entry.key(), "applying it failed: " + failure);
        }
    }
}
