package org.tamarackline.entry.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.Standing;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.cluster.Member;

/** A cluster whose state the test sets. */
final class FakeCluster implements Cluster {

    final Map<ShardId, NodeId> owners = new ConcurrentHashMap<>();
    final List<Member> peers = new ArrayList<>();
    volatile Standing standing = Standing.CONFIRMED;
    volatile Optional<Configuration> configuration = Optional.empty();
    private final NodeId self;

    FakeCluster(NodeId self) {
        this.self = self;
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
        return configuration;
    }

    @Override
    public List<Member> peers() {
        return List.copyOf(peers);
    }

    @Override
    public Optional<NodeId> ownerOf(ShardId shard) {
        return Optional.ofNullable(owners.get(shard));
    }

    @Override
    public Optional<Epoch> ownedEpoch(ShardId shard) {
        return self.equals(owners.get(shard)) ? Optional.of(new Epoch(1)) : Optional.empty();
    }

    @Override
    public List<ShardId> ownedShards() {
        return owners.entrySet().stream()
                .filter(entry -> entry.getValue().equals(self))
                .map(Map.Entry::getKey)
                .toList();
    }
}
