package org.tamarackline.entry.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;

/** The last ping response of each peer, and the last known owner of each shard. Thread-safe. */
final class PeerDirectory {

    private final Map<NodeId, ClusterMessages.Pong> pongs = new HashMap<>();
    private final Map<NodeId, Long> ownedVersions = new HashMap<>();
    private final Map<ShardId, Owner> owners = new TreeMap<>();

    /** An owner with its epoch. */
    private record Owner(NodeId node, Epoch epoch) {}

    synchronized void recordPong(NodeId peer, ClusterMessages.Pong pong) {
        pongs.put(peer, pong);
    }

    synchronized void recordFailedPing(NodeId peer) {
        pongs.remove(peer);
    }

    /**
     * Returns whether the peer is shutting down according to its response to the last ping; false if the ping failed.
     */
    synchronized boolean isLeaving(NodeId peer) {
        ClusterMessages.Pong pong = pongs.get(peer);
        return pong != null && pong.leaving();
    }

    /**
     * Returns whether the peer reaches the platform according to its response to the last ping; false if the ping
     * failed.
     */
    synchronized boolean hasPlatformAccess(NodeId peer) {
        ClusterMessages.Pong pong = pongs.get(peer);
        return pong != null && pong.platformAccess();
    }

    /** Returns whether the recorded list of the peer's shards has another version than {@code version}. */
    synchronized boolean isOwnedListOutdated(NodeId peer, long version) {
        return !Long.valueOf(version).equals(ownedVersions.get(peer));
    }

    synchronized void recordOwnedList(NodeId peer, ClusterMessages.Owned owned) {
        ownedVersions.put(peer, owned.version());
        owned.shards().forEach(shard -> recordOwner(shard.shard(), peer, shard.epoch()));
    }

    /** Records an owner unless one with the same or a higher epoch is known. */
    synchronized void recordOwner(ShardId shard, NodeId node, Epoch epoch) {
        Owner known = owners.get(shard);
        if (known == null || known.epoch().compareTo(epoch) < 0) {
            owners.put(shard, new Owner(node, epoch));
        }
    }

    synchronized Optional<NodeId> ownerOf(ShardId shard) {
        return Optional.ofNullable(owners.get(shard)).map(Owner::node);
    }
}
