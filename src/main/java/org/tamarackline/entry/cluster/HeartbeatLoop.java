package org.tamarackline.entry.cluster;

import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.membership.NodeState;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TransactionConflictException;

/**
 * Writes the heartbeats of this node to its row in the platform's table. A heartbeat that takes effect renews the
 * membership lease.
 */
final class HeartbeatLoop {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ClusterTable table;
    private final MembershipState membership;
    private final MonotonicClock clock;
    private final LocalNode self;

    HeartbeatLoop(ClusterTable table, MembershipState membership, MonotonicClock clock, LocalNode self) {
        this.table = table;
        this.membership = membership;
        this.clock = clock;
        this.self = self;
    }

    /** Writes one heartbeat, after reading the local row if its version is unknown. */
    void tick() {
        try {
            Optional<MembershipState.Heartbeat> heartbeat = membership.nextHeartbeat();
            if (heartbeat.isEmpty()) {
                readLocalRow();
                heartbeat = membership.nextHeartbeat();
            }
            if (heartbeat.isPresent()) {
                send(heartbeat.get());
            }
        } catch (PlatformException e) {
            LOG.atFine().withCause(e).log("heartbeat of %s failed", self.node());
        }
    }

    private void send(MembershipState.Heartbeat heartbeat) throws PlatformException {
        try {
            table.writeNode(heartbeat.row(), heartbeat.expectedVersion(), ClusterTable.newTransactionToken());
            membership.recordPlatformResponse(heartbeat.sentNanos());
            membership.recordHeartbeatApplied(heartbeat);
        } catch (TransactionConflictException e) {
            membership.recordPlatformResponse(heartbeat.sentNanos());
            membership.recordHeartbeatNotApplied(heartbeat);
            readLocalRow();
        } catch (PlatformUnavailableException e) {
            membership.recordHeartbeatNotApplied(heartbeat);
            throw e;
        } catch (OutcomeUnknownException e) {
            membership.invalidateLocalRowVersion();
            throw e;
        }
    }

    private void readLocalRow() throws PlatformUnavailableException {
        long sentNanos = clock.nowNanos();
        Optional<VersionedNodeRow> localRow = table.readNode(self.node());
        membership.recordPlatformResponse(sentNanos);
        membership.recordLocalRow(localRow, sentNanos);
    }

    /** Marks the local row as gone at the end of an orderly shutdown. */
    void markGone() {
        try {
            Optional<VersionedNodeRow> localRow = table.readNode(self.node());
            if (localRow.isPresent() && localRow.get().row().incarnation().equals(self.incarnation())) {
                NodeRow row = localRow.get().row().withState(NodeState.GONE);
                table.writeNode(row, localRow.get().version(), ClusterTable.newTransactionToken());
            }
        } catch (PlatformException e) {
            LOG.atInfo().withCause(e).log(
                    "row of %s could not be marked as gone; the other nodes do it after a silence", self.node());
        }
    }
}
