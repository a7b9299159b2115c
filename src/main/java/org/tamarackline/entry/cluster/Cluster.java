package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;

/** What this node knows of the nodes, the shards and the configuration. Thread-safe; every answer is from memory. */
public interface Cluster {

    /** Returns the identity of this node. */
    NodeId self();

    /** Returns the standing of this node at this moment; checked immediately before each send that relies on ownership. */
    MembershipStatus membershipStatus();

    /** Returns the configuration in force, empty before the first one was learnt. */
    Optional<Configuration> configuration();

    /** Returns the other nodes that are not known to be gone, in the order of their identity. */
    List<Member> peers();

    /** Returns the last known owner of the shard. */
    Optional<NodeId> ownerOf(ShardId shard);

    /** Returns the epoch under which this node owns the shard, empty if it does not own it. */
    Optional<Epoch> ownedEpoch(ShardId shard);

    /** Returns the shards that this node owns. */
    List<ShardId> ownedShards();
}
