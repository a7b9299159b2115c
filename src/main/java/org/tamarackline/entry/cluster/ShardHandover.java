package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TransactionConflictException;

/**
 * Hands shards over to other nodes. For each shard, sends its state to the next owner, stops owning it, and then writes the
 * row that names the next owner. Not thread-safe: used by the ownership loop.
 */
final class ShardHandover {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EntrySettings settings;
    private final LocalNode self;
    private final ClusterTable table;
    private final MembershipState membership;
    private final PeerDirectory peerDirectory;
    private final PeerCaller peerCaller;
    private final OwnershipNotifier notifier;
    private final ShardRowCache shardRows;
    private final Runnable requestScan;

    ShardHandover(ClusterContext context, OwnershipNotifier notifier, ShardRowCache shardRows, Runnable requestScan) {
        settings = context.settings();
        self = context.self();
        table = context.table();
        membership = context.membership();
        peerDirectory = context.peerDirectory();
        peerCaller = context.peerCaller();
        this.notifier = notifier;
        this.shardRows = shardRows;
        this.requestScan = requestScan;
    }

    /** Hands the shard over; returns whether the target is now its owner. */
    boolean handOver(ShardId shard, NodeId target) throws PlatformException {
        Optional<VersionedShardRow> found = shardRows.find(shard);
        Optional<NodeRow> targetRow = membership.queryView(view -> view.row(target));
        if (found.isEmpty()
                || targetRow.isEmpty()
                || membership.ownedShards().epochOf(shard).isEmpty()) {
            return false;
        }
        VersionedShardRow storedRow = found.get();
        Incarnation incarnation = self.incarnation();
        ShardRow nextRow = storedRow.row().ownedBy(target, targetRow.get().incarnation());
        JsonNode shardState = notifier.prepareHandover(shard);
        if (!sendState(target, nextRow, shardState)) {
            returnToListener(shard, storedRow.row(), shardState);
            return false;
        }
        if (!membership.changeOwnershipIfMember(
                incarnation, () -> membership.ownedShards().remove(shard))) {
            return false;
        }
        return commitHandover(new VersionedShardRow(nextRow, storedRow.version()), storedRow, incarnation, shardState);
    }

    private boolean commitHandover(
            VersionedShardRow nextRow, VersionedShardRow storedRow, Incarnation incarnation, JsonNode shardState)
            throws PlatformException {
        ShardId shard = nextRow.row().shard();
        try {
            table.writeShards(List.of(nextRow));
        } catch (TransactionConflictException | PlatformUnavailableException e) {
            LOG.atInfo().withCause(e).log("handover of shard %s was not written to the table", shard);
            // The handover certainly did not take effect, so this process still owns the shard. The scan detects
            // whether another node has changed the row.
            Epoch epoch = storedRow.row().epoch();
            if (membership.changeOwnershipIfMember(
                    incarnation, () -> membership.ownedShards().restore(shard, epoch))) {
                returnToListener(shard, storedRow.row(), shardState);
            }
            requestScan.run();
            return false;
        } catch (OutcomeUnknownException e) {
            // The row may name the next owner, so this process does not own the shard until a scan has read the row.
            notifier.queueLost(shard);
            requestScan.run();
            throw e;
        }
        shardRows.recordWritten(nextRow);
        peerDirectory.recordOwner(shard, nextRow.row().owner(), nextRow.row().epoch());
        notifier.queueLost(shard);
        notifier.deliverPending();
        // Makes the next owner scan the rows at once. If the call fails, its next regular scan finds the shard.
        call(nextRow.row().owner(), new ClusterMessages.HandOverDone(shard));
        LOG.atInfo().log("shard %s handed over to %s", shard, nextRow.row().owner());
        return true;
    }

    /**
     * Gives the shard and its state back to the listener after the handover failed. The listener has stopped work on the
     * shard, so it is notified that the shard was lost and then acquired with this state.
     */
    private void returnToListener(ShardId shard, ShardRow row, JsonNode shardState) {
        notifier.queueLost(shard);
        notifier.queueAcquired(shard, row.epoch(), OwnershipListener.Origin.HANDOVER, Optional.of(shardState));
        notifier.deliverPending();
    }

    /** Returns whether the target has accepted the state. */
    private boolean sendState(NodeId target, ShardRow nextRow, JsonNode shardState) {
        return call(target, new ClusterMessages.HandOverShard(nextRow, shardState))
                .filter(PeerMessage.Ok.class::isInstance)
                .isPresent();
    }

    private Optional<PeerMessage> call(NodeId target, PeerMessage request) {
        try {
            return Optional.of(
                    peerCaller.call(target, request, settings.cluster().requestTimeout()));
        } catch (PeerException e) {
            LOG.atInfo().withCause(e).log("handover call to node %s failed", target);
            return Optional.empty();
        }
    }
}
