package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.core.time.MonotonicClock;

/**
 * The shard states that arrive before the shard rows name this node as owner. The ownership loop takes a state when it
 * reads the row. Thread-safe.
 */
final class PendingHandovers {

    private static final Duration RETENTION = Duration.ofSeconds(60);

    private final MonotonicClock clock;
    private final Map<ShardId, PendingHandover> pending = new HashMap<>();

    PendingHandovers(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * A shard that its owner is about to hand over to this node.
     *
     * @param next shard row that the owner is about to write
     * @param state state of the shard
     * @param receivedNanos time at which the state was received
     */
    record PendingHandover(ShardRow next, JsonNode state, long receivedNanos) {}

    /** Stores the state of a shard until its row is read or the state expires. */
    synchronized void put(ShardRow next, JsonNode state) {
        pending.put(next.shard(), new PendingHandover(next, state, clock.nowNanos()));
    }

    /** Returns and removes the pending handover that announced exactly this row. */
    synchronized Optional<PendingHandover> take(ShardRow row) {
        PendingHandover candidate = pending.get(row.shard());
        if (candidate == null || !candidate.next().equals(row)) {
            return Optional.empty();
        }
        return Optional.of(pending.remove(row.shard()));
    }

    /** Removes the states of handovers that were not completed within the retention. */
    synchronized void removeExpired() {
        long oldestNanos = clock.nowNanos() - RETENTION.toNanos();
        pending.values().removeIf(entry -> entry.receivedNanos() < oldestNanos);
    }
}
