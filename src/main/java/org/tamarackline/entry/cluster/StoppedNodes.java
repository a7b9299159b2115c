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

/** Marks nodes as gone that stopped acting, and deletes their rows later. Not thread-safe: used by the ownership loop. */
final class StoppedNodes {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EntrySettings settings;
    private final LocalNode self;
    private final ClusterTable table;
    private final MembershipState membership;
    private final ShardRows rows;
    private final Runnable requestScan;
    private final TakeoverRule rule;

    StoppedNodes(ClusterContext context, ShardRows rows, Runnable requestScan) {
        settings = context.settings();
        self = context.self();
        table = context.table();
        membership = context.membership();
        this.rows = rows;
        this.requestScan = requestScan;
        rule = new TakeoverRule(
                settings.cluster().takeTime(), settings.cluster().outageGrace());
    }

    /** Marks members as gone that have certainly stopped acting. */
    void markSilentGone() throws PlatformException {
        List<NodeRow> allowed = membership.queryView(view -> view.rows().stream()
                .filter(row -> !row.node().equals(self.node()))
                .filter(row -> rule.decide(row, view) instanceof TakeoverRule.Decision.Allowed)
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
            LOG.atFine().withCause(e).log("node %s is not gone", row.node());
        }
        requestScan.run();
    }

    /** Deletes the row of a node that has been gone for long and owns nothing, as each replaced VM leaves one behind. */
    void deleteOneOldRow() throws PlatformException {
        Duration kept = settings.cluster().outageGrace().plus(settings.cluster().takeTime());
        Set<NodeId> owners = rows.owners();
        Optional<NodeRow> old = membership.queryView(view -> view.rows().stream()
                .filter(row -> row.state() == NodeState.GONE)
                .filter(row -> view.unchangedFor(row.node()).compareTo(kept) >= 0)
                .filter(row -> !owners.contains(row.node()))
                .filter(row -> hasOtherRow(view, row))
                .findFirst());
        if (old.isEmpty()) {
            return;
        }
        try {
            table.deleteNode(old.get().node(), membership.rowVersionOf(old.get().node()));
        } catch (TransactionConflictException e) {
            LOG.atFine().withCause(e).log(
                    "row of %s has changed and is kept", old.get().node());
        }
    }

    /** The node rows tell which data centres make up the region, so that one row of each is kept. */
    private static boolean hasOtherRow(MembershipView view, NodeRow row) {
        return view.rows().stream()
                .anyMatch(other -> other.dataCentre().equals(row.dataCentre())
                        && !other.node().equals(row.node()));
    }
}
