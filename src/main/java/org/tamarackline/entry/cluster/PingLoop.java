package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.settings.EntrySettings;

/**
 * Pings the peers to learn their configuration version and owned shards. While this node does not reach the platform,
 * it also collects outage evidence from them and has a peer with platform access relay its heartbeats.
 */
final class PingLoop {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Limits the time that relaying takes, because each peer may need a whole request timeout to fail. */
    private static final int MAX_RELAY_PEERS = 2;

    private final EntrySettings settings;
    private final LocalNode self;
    private final MembershipState membership;
    private final PeerDirectory peerDirectory;
    private final ConfigurationReplica configurationReplica;
    private final PeerCaller peerCaller;
    private final MonotonicClock clock;
    private final Fanout fanout;
    private final Duration timeout;
    private final Set<NodeId> evidenceRequests = ConcurrentHashMap.newKeySet();

    PingLoop(ClusterContext context) {
        settings = context.settings();
        self = context.self();
        membership = context.membership();
        peerDirectory = context.peerDirectory();
        configurationReplica = context.configurationReplica();
        peerCaller = context.peerCaller();
        clock = context.clock();
        fanout = context.fanout();
        timeout = settings.cluster().requestTimeout();
    }

    /** Pings every known peer once, then has a heartbeat relayed if none has taken effect recently. */
    void tick() {
        List<NodeId> targets = targets();
        fanout.map(targets, this::ping);
        if (membership.needsRelay()) {
            relayHeartbeat(targets);
        }
    }

    /**
     * Asks the peers for outage evidence if it is needed. Peers give it 1.5 heartbeat intervals after their last heartbeat,
     * and this node may be isolated 2 intervals after the last platform response, so that a ping once per interval may come
     * too early and the next one too late.
     */
    void evidenceTick() {
        if (membership.needsOutageEvidence()) {
            fanout.start(targets(), this::requestEvidence);
        }
    }

    /** Asks one peer, unless an earlier request to it is in progress, so that a silent peer delays no other one. */
    private void requestEvidence(NodeId peer) {
        if (!evidenceRequests.add(peer)) {
            return;
        }
        try {
            long sentNanos = clock.nowNanos();
            if (call(peer, newPing()).orElse(null) instanceof ClusterMessages.Pong pong && pong.outageEvidence()) {
                membership.recordOutageEvidence(sentNanos);
            }
        } finally {
            evidenceRequests.remove(peer);
        }
    }

    private ClusterMessages.Ping newPing() {
        return new ClusterMessages.Ping(self.incarnation(), settings.region(), configurationReplica.version());
    }

    /** Returns the known peers, or the seed peers of the settings if none is known. */
    private List<NodeId> targets() {
        List<NodeId> known = new ArrayList<>(
                membership.peerRows().stream().map(NodeRow::node).toList());
        if (known.isEmpty()) {
            known.addAll(new TreeSet<>(settings.seedPeers()));
            known.remove(self.node());
        }
        return known;
    }

    private boolean ping(NodeId peer) {
        long sentNanos = clock.nowNanos();
        Optional<PeerMessage> response = call(peer, newPing());
        if (!(response.orElse(null) instanceof ClusterMessages.Pong pong)) {
            peerDirectory.recordFailedPing(peer);
            return false;
        }
        peerDirectory.recordPong(peer, pong);
        if (pong.outageEvidence()) {
            membership.recordOutageEvidence(sentNanos);
        }
        configurationReplica.fetchIfNewer(peer, pong.configVersion());
        if (peerDirectory.isOwnedListOutdated(peer, pong.ownedVersion())) {
            fetchOwned(peer);
        }
        if (!membership.isJoined() && membership.polledRows().isEmpty()) {
            fetchMembers(peer);
        }
        return true;
    }

    private void fetchOwned(NodeId peer) {
        if (call(peer, new ClusterMessages.FetchOwned()).orElse(null) instanceof ClusterMessages.Owned owned) {
            peerDirectory.recordOwnedList(peer, owned);
        }
    }

    private void fetchMembers(NodeId peer) {
        if (call(peer, new ClusterMessages.FetchMembers()).orElse(null) instanceof ClusterMessages.Members members) {
            membership.addPeerReportedRows(members.rows());
        }
    }

    private void relayHeartbeat(List<NodeId> targets) {
        List<NodeId> relays = targets.stream()
                .filter(peerDirectory::hasPlatformAccess)
                .limit(MAX_RELAY_PEERS)
                .toList();
        for (NodeId peer : relays) {
            if (relayHeartbeatThrough(peer)) {
                return;
            }
        }
    }

    private boolean relayHeartbeatThrough(NodeId peer) {
        Optional<MembershipState.Heartbeat> heartbeat = membership.nextHeartbeat();
        long sentNanos = clock.nowNanos();
        ClusterMessages.RelayHeartbeat request = new ClusterMessages.RelayHeartbeat(
                heartbeat.map(MembershipState.Heartbeat::row),
                heartbeat.map(MembershipState.Heartbeat::expectedVersion).orElse(0L),
                ClusterTable.newTransactionToken());
        Optional<PeerMessage> response = call(peer, request);
        if (!(response.orElse(null) instanceof ClusterMessages.Relayed relayed)) {
            membership.invalidateLocalRowVersion();
            return false;
        }
        heartbeat.ifPresent(sent -> applyRelayOutcome(sent, relayed.outcome()));
        relayed.rows().ifPresent(rows -> membership.recordPoll(rows, sentNanos, clock.nowNanos()));
        boolean current = configurationReplica.fetchIfNewer(peer, relayed.configVersion());
        if (relayed.rows().isPresent() && current && configurationReplica.version() >= 0) {
            membership.recordUpToDate(sentNanos);
        }
        return relayed.outcome() == ClusterMessages.RelayOutcome.APPLIED;
    }

    private void applyRelayOutcome(MembershipState.Heartbeat heartbeat, ClusterMessages.RelayOutcome outcome) {
        switch (outcome) {
            case APPLIED -> membership.recordHeartbeatApplied(heartbeat);
            case NOT_APPLIED -> membership.recordHeartbeatNotApplied(heartbeat);
            case UNKNOWN -> membership.invalidateLocalRowVersion();
            default -> throw new IllegalArgumentException("unknown outcome " + outcome);
        }
    }

    private Optional<PeerMessage> call(NodeId peer, PeerMessage request) {
        try {
            return Optional.of(peerCaller.call(peer, request, timeout));
        } catch (PeerException e) {
            LOG.atFine().withCause(e).log("call to node %s failed", peer);
            return Optional.empty();
        }
    }
}
