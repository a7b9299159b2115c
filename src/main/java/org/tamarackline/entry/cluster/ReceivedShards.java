package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.core.time.MonotonicClock;

/** The states of shards that their owners are about to hand over to this node. Thread-safe. */
final class ReceivedShards {

    private static final Duration KEPT = Duration.ofSeconds(60);

    private final MonotonicClock clock;
    private final Map<ShardId, Received> received = new HashMap<>();

    ReceivedShards(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * State of a shard that its owner is about to hand over to this node.
     *
     * @param next shard row that the owner is about to write
     * @param state state of the shard
     * @param atNanos when it was received
     */
    record Received(ShardRow next, JsonNode state, long atNanos) {}

    /** Keeps the state until the row is read, but not for long. */
    synchronized void put(ShardRow next, JsonNode state) {
        received.put(next.shard(), new Received(next, state, clock.nowNanos()));
    }

    /** Returns and removes the state that belongs to exactly this row. */
    synchronized Optional<Received> take(ShardRow row) {
        Received candidate = received.get(row.shard());
        if (candidate == null || !candidate.next().equals(row)) {
            return Optional.empty();
        }
        return Optional.of(received.remove(row.shard()));
    }

    /** Drops the states of handovers that did not take place. */
    synchronized void dropOld() {
        long oldestNanos = clock.nowNanos() - KEPT.toNanos();
        received.values().removeIf(entry -> entry.atNanos() < oldestNanos);
    }
}
