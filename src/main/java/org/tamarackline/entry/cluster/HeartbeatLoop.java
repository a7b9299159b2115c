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

/** Writes the heartbeats of this node. */
final class HeartbeatLoop {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ClusterTable table;
    private final MembershipState state;
    private final MonotonicClock clock;
    private final LocalNode self;

    HeartbeatLoop(ClusterTable table, MembershipState state, MonotonicClock clock, LocalNode self) {
        this.table = table;
        this.state = state;
        this.clock = clock;
        this.self = self;
    }

    /** Sends one heartbeat, after reading the own row if its version is not known. */
    void tick() {
        try {
            Optional<MembershipState.Heartbeat> heartbeat = state.nextHeartbeat();
            if (heartbeat.isEmpty()) {
                readOwnRow();
                heartbeat = state.nextHeartbeat();
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
            table.writeNode(heartbeat.row(), heartbeat.expectedVersion(), ClusterTable.newToken());
            state.platformAnswered(heartbeat.sentNanos());
            state.heartbeatApplied(heartbeat);
        } catch (TransactionConflictException e) {
            state.platformAnswered(heartbeat.sentNanos());
            state.heartbeatDropped(heartbeat);
            readOwnRow();
        } catch (PlatformUnavailableException e) {
            state.heartbeatDropped(heartbeat);
            throw e;
        } catch (OutcomeUnknownException e) {
            state.ownRowUncertain();
            throw e;
        }
    }

    private void readOwnRow() throws PlatformUnavailableException {
        long sentNanos = clock.nowNanos();
        Optional<StoredNode> own = table.node(self.node());
        state.platformAnswered(sentNanos);
        state.ownRowRead(own, sentNanos);
    }

    /** Marks the own row as gone at the end of an orderly shutdown. */
    void markGone() {
        try {
            Optional<StoredNode> own = table.node(self.node());
            if (own.isPresent() && own.get().row().incarnation().equals(self.incarnation())) {
                NodeRow row = own.get().row().withState(NodeState.GONE);
                table.writeNode(row, own.get().version(), ClusterTable.newToken());
            }
        } catch (PlatformException e) {
            LOG.atInfo().withCause(e).log("row of %s stays as it is; the other nodes take over in time", self.node());
        }
    }
}
