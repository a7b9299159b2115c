package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.membership.NodeState;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.Shard;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.TransactionConflictException;

/**
 * Claims orphans for this node: shards that have no row yet, or whose stored owner has no node row, is gone or has a
 * new incarnation. Not thread-safe: used by the ownership loop.
 */
final class ShardClaimer {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_CLAIMS_PER_TRANSACTION = 100;

    private final EntrySettings settings;
    private final LocalNode self;
    private final MonotonicClock clock;
    private final ClusterTable table;
    private final MembershipState membership;
    private final RegionShards regionShards;
    private final ShardRowCache shardRows;
    private final PreferredOwners preferredOwners;
    private final OwnershipRecorder ownershipRecorder;
    private final Runnable requestScan;
    private final Map<ShardId, Long> orphanSinceNanos = new HashMap<>();

    ShardClaimer(
            ClusterContext context,
            RegionShards regionShards,
            ShardRowCache shardRows,
            PreferredOwners preferredOwners,
            OwnershipRecorder ownershipRecorder,
            Runnable requestScan) {
        settings = context.settings();
        self = context.self();
        clock = context.clock();
        table = context.table();
        membership = context.membership();
        this.regionShards = regionShards;
        this.shardRows = shardRows;
        this.preferredOwners = preferredOwners;
        this.ownershipRecorder = ownershipRecorder;
        this.requestScan = requestScan;
    }

    /** Claims the orphans that this node should own. */
    void claimOrphans() throws PlatformException {
        List<NodeRow> nodeRows = membership.polledRows();
        regionShards.setDataCentres(nodeRows.stream().map(NodeRow::dataCentre).collect(Collectors.toSet()));
        Map<NodeId, NodeRow> polledNodes = byNode(nodeRows);
        List<Shard> polledOrphans = regionShards.all().stream()
                .filter(shard -> isOrphan(shard, polledNodes))
                .toList();
        orphanSinceNanos
                .keySet()
                .retainAll(polledOrphans.stream().map(Shard::id).toList());
        if (polledOrphans.isEmpty()) {
            return;
        }
        List<Shard> dueOrphans = orphansToClaim(polledOrphans);
        if (dueOrphans.isEmpty()) {
            return;
        }
        // The node rows of the last poll may be older than the shard rows and lack an owner that joined in between.
        NodeScan scan = table.scanNodes();
        if (!scan.complete()) {
            return;
        }
        Map<NodeId, NodeRow> currentNodes =
                byNode(scan.nodes().stream().map(VersionedNodeRow::row).toList());
        List<Shard> verifiedOrphans = dueOrphans.stream()
                .filter(shard -> isOrphan(shard, currentNodes))
                .toList();
        for (int start = 0; start < verifiedOrphans.size(); start += MAX_CLAIMS_PER_TRANSACTION) {
            claim(verifiedOrphans.subList(start, Math.min(verifiedOrphans.size(), start + MAX_CLAIMS_PER_TRANSACTION)));
        }
    }

    private static Map<NodeId, NodeRow> byNode(List<NodeRow> nodeRows) {
        Map<NodeId, NodeRow> nodes = new HashMap<>();
        nodeRows.forEach(row -> nodes.put(row.node(), row));
        return nodes;
    }

    private boolean isOrphan(Shard shard, Map<NodeId, NodeRow> nodes) {
        Optional<VersionedShardRow> stored = shardRows.find(shard.id());
        if (stored.isEmpty()) {
            return true;
        }
        NodeRow owner = nodes.get(stored.get().row().owner());
        return owner == null
                || owner.state() == NodeState.GONE
                || !owner.incarnation().equals(stored.get().row().incarnation());
    }

    /**
     * Returns the orphans that this node should claim: immediately as the preferred owner, otherwise after the takeover
     * timeout.
     */
    private List<Shard> orphansToClaim(List<Shard> orphans) {
        // Nodes that start at the same time wait until they see each other, so that none of them claims all shards.
        Duration minObservation = settings.cluster().heartbeatInterval().multipliedBy(2);
        if (!settings.cluster().singleNode() && !membership.queryView(view -> view.hasObservedFor(minObservation))) {
            return List.of();
        }
        long nowNanos = clock.nowNanos();
        long delayNanos = settings.cluster().takeoverTimeout().toNanos();
        Map<ShardId, NodeId> preferred = preferredOwners.byShard();
        List<Shard> due = new ArrayList<>();
        for (Shard orphan : orphans) {
            long sinceNanos = orphanSinceNanos.computeIfAbsent(orphan.id(), key -> nowNanos);
            if (self.node().equals(preferred.get(orphan.id())) || nowNanos - sinceNanos >= delayNanos) {
                due.add(orphan);
            }
        }
        return due;
    }

    /** Writes rows that name this process as owner, and acquires the shards if that succeeds. */
    void claim(List<Shard> shardsToClaim) throws PlatformException {
        Incarnation incarnation = self.incarnation();
        Map<VersionedShardRow, OwnershipListener.Origin> claims = new LinkedHashMap<>();
        for (Shard shard : shardsToClaim) {
            Optional<VersionedShardRow> stored = shardRows.find(shard.id());
            if (stored.isEmpty()) {
                ShardRow first = new ShardRow(shard.id(), self.node(), incarnation, new Epoch(1), shard.dataCentre());
                claims.put(new VersionedShardRow(first, 0), OwnershipListener.Origin.FIRST);
            } else {
                ShardRow next = stored.get().row().ownedBy(self.node(), incarnation);
                claims.put(new VersionedShardRow(next, stored.get().version()), OwnershipListener.Origin.TAKEOVER);
            }
        }
        requestScan.run();
        if (membership.status() != MembershipStatus.CONFIRMED) {
            return;
        }
        try {
            table.writeShards(List.copyOf(claims.keySet()));
        } catch (TransactionConflictException e) {
            LOG.atFine().withCause(e).log("another node claimed one of the shards");
            return;
        }
        claims.forEach((stored, origin) -> {
            shardRows.recordWritten(stored);
            ownershipRecorder.recordAcquired(stored.row(), incarnation, origin, Optional.empty());
        });
    }
}
