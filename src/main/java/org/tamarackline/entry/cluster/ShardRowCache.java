package org.tamarackline.entry.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;

/** The shard rows as they were last read or written. Not thread-safe: used by the ownership loop. */
final class ShardRowCache {

    private Map<ShardId, VersionedShardRow> rows = new TreeMap<>();

    /** Replaces all rows by those read. */
    void replaceAll(List<VersionedShardRow> read) {
        Map<ShardId, VersionedShardRow> next = new TreeMap<>();
        read.forEach(stored -> next.put(stored.row().shard(), stored));
        rows = next;
    }

    /** Takes note of a row that was written on top of the version it names. */
    void recordWritten(VersionedShardRow stored) {
        rows.put(stored.row().shard(), new VersionedShardRow(stored.row(), stored.version() + 1));
    }

    /** Returns the row of the shard if it exists. */
    Optional<VersionedShardRow> find(ShardId shard) {
        return Optional.ofNullable(rows.get(shard));
    }

    /** Returns all rows in the order of their shards. */
    Collection<VersionedShardRow> all() {
        return rows.values();
    }

    /** Returns the nodes that own a shard according to the rows. */
    Set<NodeId> owners() {
        return rows.values().stream().map(stored -> stored.row().owner()).collect(Collectors.toSet());
    }
}
