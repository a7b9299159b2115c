package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.IntConsumer;

/** Reads from the store how many nodes follow a leader that stores its lease limit. */
final class StoredFollowers {

    /** Longest time since a leader stored its lease limit after which it counts as followed. */
    private static final Duration MAX_AGE = Duration.ofMillis(500);

    private final NodeServices services;
    private final LeaseLimitReader reader;

    StoredFollowers(NodeServices services) {
        this.services = services;
        this.reader = new LeaseLimitReader(services);
    }

    /**
     * Reads the number of nodes that follow a leader.
     *
     * @param epoch epoch of the leader
     * @param callback receives 0 if the leader has not stored its lease limit lately, or if the store does not answer
     */
    void read(long epoch, IntConsumer callback) {
        reader.read(result -> callback.accept(
                result instanceof RecordStore.ReadResult.Page page ? followers(page.entries(), epoch) : 0));
    }

    private int followers(List<RecordStore.Entry> entries, long epoch) {
        if (entries.isEmpty()) {
            return 0;
        }
        try {
            LeaseLimitRecord record =
                    RecordCodec.decodeLeaseLimit(entries.getFirst().value());
            return record.epoch() == epoch && storedLately(record) ? record.followers() : 0;
        } catch (CorruptRecordException corrupt) {
            services.log().skippedRecord(LeaseLimitRecord.KEY, corrupt.getMessage());
            return 0;
        }
    }

    /** A leader raises the limit often, and always to the same time from then. */
    private boolean storedLately(LeaseLimitRecord record) {
        OptionalLong nowMs = services.store().clock().latestMs(services.loop().nowNanos());
        long oldestMs = FleetConstants.LEASE_LIMIT.minus(MAX_AGE).toMillis();
        return nowMs.isPresent() && record.limitStoreMs() - nowMs.getAsLong() >= oldestMs;
    }
}
