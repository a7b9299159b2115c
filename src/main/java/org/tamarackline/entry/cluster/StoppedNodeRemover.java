package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipView;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.membership.NodeState;
import org.tamarackline.core.membership.TakeoverRule;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.TransactionConflictException;

/**
 * Marks nodes as gone that have stopped without announcing it, and deletes the rows of gone nodes later. Not
 * thread-safe: used by the ownership loop.
 */
final class StoppedNodeRemover {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EntrySettings settings;
    private final LocalNode self;
    private final ClusterTable table;
    private final MembershipState membership;
    private final ShardRowCache shardRows;
    private final Runnable requestScan;
    private final TakeoverRule takeoverRule;

    StoppedNodeRemover(ClusterContext context, ShardRowCache shardRows, Runnable requestScan) {
        settings = context.settings();
        self = context.self();
        table = context.table();
        membership = context.membership();
        this.shardRows = shardRows;
        this.requestScan = requestScan;
        takeoverRule = new TakeoverRule(
                settings.cluster().takeoverTimeout(), settings.cluster().outageGrace());
    }

    /** Marks members as gone that have certainly stopped, according to the {@link TakeoverRule}. */
    void markSilentNodesGone() throws PlatformException {
        List<NodeRow> allowed = membership.queryView(view -> view.rows().stream()
                .filter(row -> !row.node().equals(self.node()))
                .filter(row -> takeoverRule.decide(row, view) instanceof TakeoverRule.Decision.Allowed)
                .toList());
        if (settings.cluster().singleNode() || !membership.isViewComplete()) {
            return;
        }
        for (NodeRow row : allowed) {
            markGone(row);
        }
    }

    private void markGone(NodeRow row) throws PlatformException {
        try {
            table.writeNode(
                    row.withState(NodeState.GONE),
                    membership.rowVersionOf(row.node()),
                    ClusterTable.newTransactionToken());
            LOG.atWarning().log("node %s is silent and was marked as gone", row.node());
        } catch (TransactionConflictException e) {
            LOG.atFine().withCause(e).log("node %s was not marked as gone because its row has changed", row.node());
        }
        requestScan.run();
    }

    /**
     * Deletes the row of one node that has been gone for the retention and owns no shards; each replaced VM leaves a
     * row behind.
     */
    void deleteOneExpiredRow() throws PlatformException {
        Duration retention =
                settings.cluster().outageGrace().plus(settings.cluster().takeoverTimeout());
        Set<NodeId> owners = shardRows.owners();
        Optional<NodeRow> expired = membership.queryView(view -> view.rows().stream()
                .filter(row -> row.state() == NodeState.GONE)
                .filter(row -> view.unchangedFor(row.node()).compareTo(retention) >= 0)
                .filter(row -> !owners.contains(row.node()))
                .filter(row -> dataCentreHasOtherRow(view, row))
                .findFirst());
        if (expired.isEmpty()) {
            return;
        }
        try {
            table.deleteNode(
                    expired.get().node(), membership.rowVersionOf(expired.get().node()));
        } catch (TransactionConflictException e) {
            LOG.atFine().withCause(e).log(
                    "row of node %s was not deleted because it has changed",
                    expired.get().node());
        }
    }

    /** The data centres of the region are those in its node rows, so that one row of each has to be kept. */
    private static boolean dataCentreHasOtherRow(MembershipView view, NodeRow row) {
        return view.rows().stream()
                .anyMatch(other -> other.dataCentre().equals(row.dataCentre())
                        && !other.node().equals(row.node()));
    }
}
