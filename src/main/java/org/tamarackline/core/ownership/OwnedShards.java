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
 * <p>The highest epoch at which each shard was given up is remembered, so that an old reading of its row cannot bring the
 * ownership back.
 */
public final class OwnedShards {

    private final Map<ShardId, Epoch> epochs = new TreeMap<>();
    private final Map<ShardId, Epoch> removedEpochs = new HashMap<>();

    /** Adds a shard; returns false if it is owned already or the epoch is not higher than the last one given up. */
    public synchronized boolean add(ShardId shard, Epoch epoch) {
        if (epochs.containsKey(shard) || wasRemoved(shard, epoch)) {
            return false;
        }
        epochs.put(shard, epoch);
        return true;
    }

    /** Gives the shard up; returns its epoch, empty if it was not owned. */
    public synchronized Optional<Epoch> remove(ShardId shard) {
        Epoch epoch = epochs.remove(shard);
        if (epoch != null) {
            removedEpochs.put(shard, epoch);
        }
        return Optional.ofNullable(epoch);
    }

    /** Returns whether the shard was given up at this epoch or a later one. */
    public synchronized boolean wasRemoved(ShardId shard, Epoch epoch) {
        Epoch last = removedEpochs.get(shard);
        return last != null && epoch.compareTo(last) <= 0;
    }

    /** Takes the shard back at the epoch at which it was given up, when the handover certainly did not take effect. */
    public synchronized void restore(ShardId shard, Epoch epoch) {
        removedEpochs.remove(shard, epoch);
        epochs.put(shard, epoch);
    }

    /** Gives all shards up and returns them. */
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
