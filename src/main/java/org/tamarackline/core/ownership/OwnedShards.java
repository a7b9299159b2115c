package org.tamarackline.core.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;

/**
 * The shards that this node owns, with their epochs. Thread-safe.
 *
 * <p>Keeps the epoch at which each shard was last removed, so that an outdated read of its row cannot restore the ownership.
 */
public final class OwnedShards {

    private final Map<ShardId, Epoch> epochs = new TreeMap<>();
    private final Map<ShardId, Epoch> removedEpochs = new HashMap<>();

    /** Adds a shard. Returns false if it is owned already, or was removed at this epoch or a later one. */
    public synchronized boolean add(ShardId shard, Epoch epoch) {
        if (epochs.containsKey(shard) || wasRemoved(shard, epoch)) {
            return false;
        }
        epochs.put(shard, epoch);
        return true;
    }

    /** Removes a shard that is released or was lost. Returns its epoch, empty if it was not owned. */
    public synchronized Optional<Epoch> remove(ShardId shard) {
        Epoch epoch = epochs.remove(shard);
        if (epoch != null) {
            removedEpochs.put(shard, epoch);
        }
        return Optional.ofNullable(epoch);
    }

    /** Returns whether the shard was removed at this epoch or a later one. */
    public synchronized boolean wasRemoved(ShardId shard, Epoch epoch) {
        Epoch last = removedEpochs.get(shard);
        return last != null && epoch.compareTo(last) <= 0;
    }

    /** Adds a removed shard again at the same epoch, after a handover that certainly did not take effect. */
    public synchronized void restore(ShardId shard, Epoch epoch) {
        removedEpochs.remove(shard, epoch);
        epochs.put(shard, epoch);
    }

    /** Removes all shards and returns them. */
    public synchronized List<ShardId> removeAll() {
        List<ShardId> all = List.copyOf(epochs.keySet());
        all.forEach(this::remove);
        return all;
    }

    /** Returns the epoch of an owned shard. */
    public synchronized Optional<Epoch> epochOf(ShardId shard) {
        return Optional.ofNullable(epochs.get(shard));
    }

    /** Returns the owned shards in order. */
    public synchronized List<ShardId> list() {
        return List.copyOf(epochs.keySet());
    }
}
