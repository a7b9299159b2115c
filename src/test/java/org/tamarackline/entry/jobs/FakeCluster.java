package org.tamarackline.entry.jobs;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.Standing;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.cluster.Member;

/** What one node believes about the cluster, as set by the test. */
final class FakeCluster implements Cluster {

    private final NodeId self;
    private final Map<ShardId, Epoch> owned = new HashMap<>();
    Standing standing = Standing.CONFIRMED;
    Configuration configuration = Configuration.initial();

    FakeCluster(NodeId self) {
        this.self = self;
    }

    void own(ShardId shard, Epoch epoch) {
        owned.put(shard, epoch);
    }

    void disown(ShardId shard) {
        owned.remove(shard);
    }

    @Override
    public NodeId self() {
        return self;
    }

    @Override
    public Standing standing() {
        return standing;
    }

    @Override
    public Optional<Configuration> configuration() {
        return Optional.of(configuration);
    }

    @Override
    public List<Member> peers() {
        return List.of();
    }

    @Override
    public Optional<NodeId> ownerOf(ShardId shard) {
        return owned.containsKey(shard) ? Optional.of(self) : Optional.empty();
    }

    @Override
    public Optional<Epoch> ownedEpoch(ShardId shard) {
        return Optional.ofNullable(owned.get(shard));
    }

    @Override
    public List<ShardId> ownedShards() {
        return List.copyOf(owned.keySet());
    }
}
