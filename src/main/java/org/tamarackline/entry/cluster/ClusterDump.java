package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.entry.StateDump;

/** The cluster's part of the state dump. */
final class ClusterDump implements StateDump {

    private final MembershipState membership;
    private final ClusterContext context;

    ClusterDump(ClusterContext context) {
        this.context = context;
        membership = context.membership();
    }

    /**
     * The snapshot.
     *
     * @param node identity of the node
     * @param incarnation incarnation of the process
     * @param standing standing at the moment of the dump
     * @param platformAccess whether the platform answered a moment ago
     * @param configuration configuration in force
     * @param nodes node rows of the last poll
     * @param owned shards that this node owns
     */
    record Snapshot(
            NodeId node,
            Incarnation incarnation,
            MembershipStatus standing,
            boolean platformAccess,
            Optional<Configuration> configuration,
            List<NodeRow> nodes,
            List<ClusterMessages.OwnedShard> owned) {}

    @Override
    public String name() {
        return "cluster";
    }

    @Override
    public Object snapshot() {
        List<ClusterMessages.OwnedShard> owned = membership.ownedShards().list().stream()
                .flatMap(
                        shard -> membership
                                .ownedShards()
                                .epochOf(shard)
                                .map(epoch -> new ClusterMessages.OwnedShard(shard, epoch))
                                .stream())
                .toList();
        return new Snapshot(
                context.self().node(),
                context.self().incarnation(),
                membership.status(),
                membership.hasPlatformAccess(),
                context.configurationReplica().inForce(),
                membership.polledRows(),
                owned);
    }
}
