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

/** The shard rows as this node last read or wrote them. Not thread-safe: used by the ownership loop. */
final class ShardRowCache {

    private Map<ShardId, VersionedShardRow> rows = new TreeMap<>();

    /** Replaces all rows with those of a scan. */
    void replaceAll(List<VersionedShardRow> read) {
        Map<ShardId, VersionedShardRow> next = new TreeMap<>();
        read.forEach(stored -> next.put(stored.row().shard(), stored));
        rows = next;
    }

    /** Records a row that was written; its version is the one that it replaced. */
    void recordWritten(VersionedShardRow stored) {
        rows.put(stored.row().shard(), new VersionedShardRow(stored.row(), stored.version() + 1));
    }

    /** Returns the row of the shard if it exists. */
    Optional<VersionedShardRow> find(ShardId shard) {
        return Optional.ofNullable(rows.get(shard));
    }

    /** Returns all rows, ordered by shard. */
    Collection<VersionedShardRow> all() {
        return rows.values();
    }

    /** Returns the nodes that own a shard according to the rows. */
    Set<NodeId> owners() {
        return rows.values().stream().map(stored -> stored.row().owner()).collect(Collectors.toSet());
    }
}
