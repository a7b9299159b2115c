package org.tamarackline.entry;

import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.Standing;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.cluster.Member;

/** A cluster of one node whose standing and configuration the test sets. */
public final class FakeCluster implements Cluster {

    private volatile Standing standing = Standing.CONFIRMED;
    private volatile Optional<Configuration> configuration = Optional.of(Configuration.initial());

    public void setStanding(Standing value) {
        standing = value;
    }

    public void setConfiguration(Optional<Configuration> value) {
        configuration = value;
    }

    @Override
    public NodeId self() {
        return new NodeId("127.0.0.1:7400");
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
        return List.of();
    }

    @Override
    public Optional<NodeId> ownerOf(ShardId shard) {
        return Optional.empty();
    }

    @Override
    public Optional<Epoch> ownedEpoch(ShardId shard) {
        return Optional.empty();
    }

    @Override
    public List<ShardId> ownedShards() {
        return List.of();
    }
}
