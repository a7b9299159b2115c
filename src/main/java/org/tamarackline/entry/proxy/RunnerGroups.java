package org.tamarackline.entry.proxy;

import java.util.List;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.routing.ConnectionLimit;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.core.routing.SlotHandover;
import org.tamarackline.entry.cluster.Cluster;

/** Keeps the {@link SlotAllocator} up to date on the runner groups that this node owns and their runners. Thread-safe. */
@Singleton
public final class RunnerGroups {

    private final Cluster cluster;
    private final RunnerDirectory directory;
    private final SlotAllocator allocator;
    private volatile ConnectionLimit connectionLimit = new ConnectionLimit(1);

    /** Creates an instance for a node that owns no groups. */
    @Inject
    public RunnerGroups(Cluster cluster, RunnerDirectory directory, SlotAllocator allocator) {
        this.cluster = cluster;
        this.directory = directory;
        this.allocator = allocator;
    }

    /** Starts granting slots of a group that this node acquired. */
    public void addGroup(ShardId shard, GroupOrigin origin) {
        allocator.addGroup(shard, origin);
        updateRunners(shard);
    }

    /** Stops granting slots of the group and returns its open uses. */
    public SlotHandover prepareHandover(ShardId shard) {
        return allocator.prepareHandover(shard);
    }

    /** Removes a group that this node lost. */
    public void removeGroup(ShardId shard) {
        allocator.removeGroup(shard);
    }

    /** Marks a runner of the group as leaving, so that it gets no new requests. */
    void markLeaving(ShardId shard, RunnerId runner) {
        if (directory.markLeaving(runner)) {
            directory.rebuild();
            updateRunners(shard);
        }
    }

    /** Updates the runners of all owned groups from the directory and grants slots whose uses have expired. */
    public void updateRunners() {
        connectionLimit = new ConnectionLimit(cluster.peers().size() + 1);
        allocator.setConnectionLimit(connectionLimit);
        cluster.ownedShards().forEach(this::updateRunners);
        List<RunnerId> knownRunners = directory.all().stream().map(Runner::id).toList();
        allocator.removeStale(knownRunners);
    }

    private void updateRunners(ShardId shard) {
        allocator.setRunners(shard, directory.runnersOf(shard));
    }

    /** Returns how many connections to each runner this node may hold. */
    public ConnectionLimit connectionLimit() {
        return connectionLimit;
    }
}
