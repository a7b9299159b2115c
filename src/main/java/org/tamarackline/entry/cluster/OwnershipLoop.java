package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipStatus;
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
import org.tamarackline.store.VmDirectory;

/**
 * Keeps the shards that this node owns in line with the shard rows: scans the rows, takes over from stopped nodes,
 * claims shards without an owner and hands shards over to their preferred owners.
 *
 * <p>All methods but {@link #requestScan} and {@link #acceptHandover} run on one thread at a time, so that the result
 * of a scan is never applied after a later handover.
 */
final class OwnershipLoop {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** At the target size of 125 shard rows of about 200 bytes, a scan every 5 s uses 5 KB/s. */
    private static final Duration SCAN_INTERVAL = Duration.ofSeconds(5);

    private final EntrySettings settings;
    private final LocalNode self;
    private final MonotonicClock clock;
    private final ClusterTable table;
    private final MembershipState membership;
    private final PeerDirectory peerDirectory;
    private final OwnershipNotifier notifier;
    private final RegionShards regionShards;
    private final AtomicBoolean scanRequested = new AtomicBoolean(true);
    private final PendingHandovers pendingHandovers;
    private final ShardRowCache shardRows = new ShardRowCache();
    private final VmListRefresher vmListRefresher;
    private final PreferredOwners preferredOwners;
    private final StoppedNodeRemover stoppedNodeRemover;
    private final OwnershipRecorder ownershipRecorder;
    private final ShardClaimer shardClaimer;
    private final ShardHandover shardHandover;
    private Set<NodeId> candidatesAtScan = Set.of();
    private long scanDueNanos;
    private long rebalanceDueNanos;

    OwnershipLoop(ClusterContext context, VmDirectory vms, OwnershipNotifier notifier) {
        settings = context.settings();
        self = context.self();
        clock = context.clock();
        table = context.table();
        membership = context.membership();
        peerDirectory = context.peerDirectory();
        this.notifier = notifier;
        Runnable requestScan = () -> scanRequested.set(true);
        regionShards = new RegionShards(settings.requests().runnerGroups());
        pendingHandovers = new PendingHandovers(clock);
        vmListRefresher = new VmListRefresher(clock, vms, regionShards);
        preferredOwners = new PreferredOwners(context, regionShards);
        stoppedNodeRemover = new StoppedNodeRemover(context, shardRows, requestScan);
        ownershipRecorder = new OwnershipRecorder(context, notifier);
        shardClaimer =
                new ShardClaimer(context, regionShards, shardRows, preferredOwners, ownershipRecorder, requestScan);
        shardHandover = new ShardHandover(context, notifier, shardRows, requestScan);
        long nowNanos = clock.nowNanos();
        scanDueNanos = nowNanos;
        rebalanceDueNanos = nowNanos + settings.cluster().rebalanceInterval().toNanos();
    }

    /** Requests that the next tick scans the shard rows. */
    void requestScan() {
        scanRequested.set(true);
    }

    /**
     * Keeps the state of a shard until its row names this process as owner. Returns false if the handover is meant for
     * another process, or this one is leaving or does not have the status {@code CONFIRMED}.
     */
    boolean acceptHandover(ShardRow next, JsonNode shardState) {
        boolean addressedToThisProcess =
                next.owner().equals(self.node()) && next.incarnation().equals(self.incarnation());
        if (!addressedToThisProcess || membership.isLeaving() || membership.status() != MembershipStatus.CONFIRMED) {
            return false;
        }
        pendingHandovers.put(next, shardState);
        return true;
    }

    /** Runs the steps that are due. While the membership is not confirmed, a scan is only requested for later. */
    void tick() {
        notifier.deliverPending();
        if (membership.status() != MembershipStatus.CONFIRMED || !membership.isJoined()) {
            scanRequested.set(true);
            return;
        }
        try {
            vmListRefresher.refreshIfDue();
            stoppedNodeRemover.markSilentNodesGone();
            if (scanIsDue()) {
                scan();
                stoppedNodeRemover.deleteOneExpiredRow();
            }
            if (!membership.isLeaving()) {
                shardClaimer.claimOrphans();
                rebalance();
            }
        } catch (PlatformException e) {
            LOG.atFine().withCause(e).log(
                    "ownership loop could not complete its steps; they are repeated at the next tick");
            scanRequested.set(true);
        }
        notifier.deliverPending();
    }

    private boolean scanIsDue() {
        boolean requested = scanRequested.getAndSet(false);
        return requested
                || clock.nowNanos() >= scanDueNanos
                || !preferredOwners.candidates().equals(candidatesAtScan);
    }

    /** Reads the shard rows and reconciles the owned shards with them. */
    private void scan() throws PlatformException {
        Incarnation incarnation = self.incarnation();
        List<VersionedShardRow> readRows = table.scanShards();
        readRows.forEach(stored -> peerDirectory.recordOwner(
                stored.row().shard(), stored.row().owner(), stored.row().epoch()));
        shardRows.replaceAll(readRows);
        regionShards.addRows(shardRows.all());
        scanDueNanos = clock.nowNanos() + SCAN_INTERVAL.toNanos();
        candidatesAtScan = preferredOwners.candidates();
        List<Shard> shardsToReclaim = new ArrayList<>();
        for (VersionedShardRow stored : shardRows.all()) {
            reconcile(stored, incarnation, shardsToReclaim);
        }
        pendingHandovers.removeExpired();
        if (!shardsToReclaim.isEmpty()) {
            shardClaimer.claim(shardsToReclaim);
        }
    }

    /** Compares one row with the owned shards; a shard that has to be claimed again is added to the list. */
    private void reconcile(VersionedShardRow stored, Incarnation incarnation, List<Shard> shardsToReclaim) {
        ShardRow row = stored.row();
        boolean namesThisProcess =
                row.owner().equals(self.node()) && row.incarnation().equals(incarnation);
        Optional<Epoch> owned = membership.ownedShards().epochOf(row.shard());
        if (owned.isPresent() && !(namesThisProcess && owned.get().equals(row.epoch()))) {
            LOG.atSevere().log("shard %s was taken from this node although it was a member", row.shard());
            membership.changeOwnershipIfMember(
                    incarnation, () -> membership.ownedShards().remove(row.shard()));
            notifier.queueLost(row.shard());
        } else if (namesThisProcess && membership.ownedShards().wasRemoved(row.shard(), row.epoch())) {
            // The outcome of a handover's write is unknown, and the write may still take effect. Another write to the
            // row rules that out, because it changes the version that the handover requires.
            shardsToReclaim.add(Shard.of(row.shard(), row.dataCentre()));
        } else if (namesThisProcess && owned.isEmpty()) {
            acquireFromRow(row, incarnation);
        }
    }

    /** Acquires a shard whose row names this process, after a handover or after a claim whose response was lost. */
    private void acquireFromRow(ShardRow row, Incarnation incarnation) {
        Optional<PendingHandovers.PendingHandover> handover = pendingHandovers.take(row);
        OwnershipListener.Origin origin = handover.isPresent()
                ? OwnershipListener.Origin.HANDOVER
                : row.epoch().value() == 1 ? OwnershipListener.Origin.FIRST : OwnershipListener.Origin.TAKEOVER;
        ownershipRecorder.recordAcquired(
                row, incarnation, origin, handover.map(PendingHandovers.PendingHandover::state));
    }

    private void rebalance() throws PlatformException {
        if (clock.nowNanos() < rebalanceDueNanos) {
            return;
        }
        rebalanceDueNanos =
                clock.nowNanos() + settings.cluster().rebalanceInterval().toNanos();
        Map<ShardId, NodeId> preferred = preferredOwners.byShard();
        for (ShardId shard : membership.ownedShards().list()) {
            NodeId target = preferred.get(shard);
            if (target != null && !target.equals(self.node())) {
                shardHandover.handOver(shard, target);
                return;
            }
        }
    }

    /** Hands all shards over to other nodes at shutdown; returns those that this node still owns. */
    List<ShardId> handOverAll() {
        notifier.deliverPending();
        Set<NodeId> failed = new HashSet<>();
        try {
            if (membership.status() == MembershipStatus.CONFIRMED) {
                scan();
                for (ShardId shard : membership.ownedShards().list()) {
                    handOverToAny(shard, failed);
                }
            }
        } catch (PlatformException e) {
            LOG.atInfo().withCause(e).log(
                    "shards were not handed over; they stay with this node until the other nodes take over");
        }
        notifier.deliverPending();
        return membership.ownedShards().list();
    }

    private void handOverToAny(ShardId shard, Set<NodeId> failed) throws PlatformException {
        Set<NodeId> excluded = new HashSet<>(failed);
        excluded.add(self.node());
        Optional<NodeId> target = preferredOwners.ownerExcluding(shard, excluded);
        if (target.isPresent() && !shardHandover.handOver(shard, target.get())) {
            failed.add(target.get());
        }
    }
}
