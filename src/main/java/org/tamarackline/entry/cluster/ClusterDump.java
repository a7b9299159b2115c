package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.entry.StateDump;

/** Contributes membership, node rows and owned shards to the state dump of the operator interface. */
final class ClusterDump implements StateDump {

    private final MembershipState membership;
    private final ClusterContext context;

    ClusterDump(ClusterContext context) {
        this.context = context;
        membership = context.membership();
    }

    /**
     * Content of this part of the dump.
     *
     * @param node identity of the node
     * @param incarnation incarnation of the process
     * @param standing membership status at the time of the dump
     * @param platformAccess whether the platform responded to this node recently
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
