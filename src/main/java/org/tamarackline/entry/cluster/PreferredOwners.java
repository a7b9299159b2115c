package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.tamarackline.core.membership.NodeState;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.ShardAssignment;
import org.tamarackline.settings.EntrySettings;

/** Determines the preferred owner of each shard among the live nodes of the region. */
final class PreferredOwners {

    private final EntrySettings settings;
    private final MembershipState membership;
    private final PeerDirectory peerDirectory;
    private final RegionShards shards;

    PreferredOwners(ClusterContext context, RegionShards shards) {
        settings = context.settings();
        membership = context.membership();
        peerDirectory = context.peerDirectory();
        this.shards = shards;
    }

    /** Returns the nodes that may own shards: live, not silent for the takeover timeout and not shutting down. */
    Set<NodeId> candidates() {
        return candidateList().stream().map(ShardAssignment.Candidate::node).collect(Collectors.toSet());
    }

    /** Returns the preferred owner of each shard. */
    Map<ShardId, NodeId> byShard() {
        return ShardAssignment.assign(shards.all(), candidateList());
    }

    /** Returns the preferred owner of the shard among the candidates that are not excluded, if there are any. */
    Optional<NodeId> ownerExcluding(ShardId shard, Set<NodeId> excluded) {
        List<ShardAssignment.Candidate> others = candidateList().stream()
                .filter(candidate -> !excluded.contains(candidate.node()))
                .toList();
        return Optional.ofNullable(ShardAssignment.assign(shards.all(), others).get(shard));
    }

    private List<ShardAssignment.Candidate> candidateList() {
        Duration maxSilence = settings.cluster().takeoverTimeout();
        return membership.queryView(view -> view.rows().stream()
                .filter(row -> row.state() == NodeState.LIVE)
                .filter(row -> view.silentFor(row.node()).compareTo(maxSilence) < 0)
                .filter(row -> !peerDirectory.isLeaving(row.node()))
                .map(row -> new ShardAssignment.Candidate(row.node(), row.dataCentre()))
                .toList());
    }
}
