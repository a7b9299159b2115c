package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;

/**
 * What this node knows of the other nodes, the owners of the shards and the configuration. Used by the code that serves
 * requests and jobs. Thread-safe; no method makes a call, all results come from memory.
 */
public interface Cluster {

    /** Returns the identity of this node. */
    NodeId self();

    /**
     * Returns the membership status of this node at this moment. Callers check it immediately before each send that
     * relies on ownership, because it may change at any time.
     */
    MembershipStatus membershipStatus();

    /** Returns the configuration in force, empty until this node has read or received the first one. */
    Optional<Configuration> configuration();

    /** Returns the other nodes that are not known to be gone, ordered by identity. */
    List<Member> peers();

    /** Returns the last known owner of the shard. */
    Optional<NodeId> ownerOf(ShardId shard);

    /** Returns the epoch under which this node owns the shard, empty if it does not own it. */
    Optional<Epoch> ownedEpoch(ShardId shard);

    /** Returns the shards that this node owns. */
    List<ShardId> ownedShards();
}
