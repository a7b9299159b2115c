package org.tamarackline.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.cluster.Member;

/** The view that one node has of the cluster, as set by the test. */
public final class FakeCluster implements Cluster {

    private final NodeId self;
    private final Map<ShardId, Owner> owners = new ConcurrentHashMap<>();
    private final List<Member> peers = new CopyOnWriteArrayList<>();
    private volatile MembershipStatus membershipStatus = MembershipStatus.CONFIRMED;
    private volatile Optional<Configuration> configuration = Optional.of(Configuration.initial());

    /** Creates a cluster of one node that owns nothing. */
    public FakeCluster(NodeId self) {
        this.self = self;
    }

    private record Owner(NodeId node, Epoch epoch) {}

    public void setMembershipStatus(MembershipStatus value) {
        membershipStatus = value;
    }

    public void setConfiguration(Optional<Configuration> value) {
        configuration = value;
    }

    public void addPeer(Member peer) {
        peers.add(peer);
    }

    public void acquire(ShardId shard, Epoch epoch) {
        setOwner(shard, self, epoch);
    }

    public void setOwner(ShardId shard, NodeId owner, Epoch epoch) {
        owners.put(shard, new Owner(owner, epoch));
    }

    public void removeOwner(ShardId shard) {
        owners.remove(shard);
    }

    @Override
    public NodeId self() {
        return self;
    }

    @Override
    public MembershipStatus membershipStatus() {
        return membershipStatus;
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
        return Optional.ofNullable(owners.get(shard)).map(Owner::node);
    }

    @Override
    public Optional<Epoch> ownedEpoch(ShardId shard) {
        return Optional.ofNullable(owners.get(shard))
                .filter(owner -> owner.node().equals(self))
                .map(Owner::epoch);
    }

    @Override
    public List<ShardId> ownedShards() {
        return owners.entrySet().stream()
                .filter(entry -> entry.getValue().node().equals(self))
                .map(Map.Entry::getKey)
                .toList();
    }
}
