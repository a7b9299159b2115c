package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.membership.MembershipStatusTracker;
import org.tamarackline.core.membership.MembershipView;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.membership.NodeState;
import org.tamarackline.core.membership.SilenceTracker;
import org.tamarackline.core.membership.SilentPeer;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.OwnedShards;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.settings.EntrySettings;

/**
 * The state of this node's membership: its heartbeats, its view of the other members and the shards that it owns. The
 * heartbeat, poll, ping and ownership loops report their results here, and the membership status follows from them.
 * Thread-safe; no method does I/O. The loss listener is called while the lock is held.
 *
 * <p>The age of a result is measured from the time at which its request was sent, because the response may be arbitrarily
 * late. Outage evidence is the response of a peer that it cannot reach the platform either; a node that has peers needs
 * it to rely on its shards during a platform outage.
 */
final class MembershipState {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EntrySettings settings;
    private final LocalNode self;
    private final MonotonicClock clock;
    private final IncarnationSource incarnations;

    /** Age up to which a platform response or a confirmed heartbeat counts as recent. */
    private final Duration recencyWindow;

    private final MembershipStatusTracker statusTracker;
    private final MembershipView view;
    private final SilenceTracker silenceTracker;
    private final OwnedShards ownedShards = new OwnedShards();
    private final TreeMap<Long, Long> heartbeatSentNanos = new TreeMap<>();
    private final Map<NodeId, NodeRow> peerReportedRows = new TreeMap<>();
    private final Map<NodeId, Long> rowVersions = new HashMap<>();

    private Consumer<ShardId> lossListener = shard -> {};
    private Optional<Long> localRowVersion = Optional.empty();
    private long localRowVersionRecordedNanos;
    private long lastCounter;
    private boolean viewComplete;
    private boolean leaving;
    private boolean stopped;
    private boolean platformResponded;
    private long lastPlatformResponseNanos;
    private long ownedVersion;
    private MembershipStatus lastStatus = MembershipStatus.ISOLATED;

    MembershipState(EntrySettings settings, LocalNode self, MonotonicClock clock, IncarnationSource incarnations) {
        this.settings = settings;
        this.self = self;
        this.clock = clock;
        this.incarnations = incarnations;
        EntrySettings.ClusterTimes times = settings.cluster();
        recencyWindow = times.heartbeatInterval().multipliedBy(3).dividedBy(2);
        statusTracker = new MembershipStatusTracker(times.membershipLease(), times.outageGrace(), times.singleNode());
        view = new MembershipView(times.pollInterval().multipliedBy(3));
        silenceTracker = new SilenceTracker(
                silenceThreshold(times), times.membershipLease().plus(times.driftMargin()));
    }

    /**
     * Returns the silence after which a member is recorded as silent: the latest one with which the other members see the
     * record before the takeover timeout, or the time in which outage evidence given by an earlier incarnation of this
     * node expires if that is longer, but at most the takeover timeout.
     */
    private static Duration silenceThreshold(EntrySettings.ClusterTimes times) {
        Duration latestVisibleSilence =
                times.takeoverTimeout().minus(times.heartbeatInterval()).minus(times.pollInterval());
        Duration evidenceExpiry = times.membershipLease().plus(times.driftMargin());
        Duration threshold = latestVisibleSilence.compareTo(evidenceExpiry) > 0 ? latestVisibleSilence : evidenceExpiry;
        return threshold.compareTo(times.takeoverTimeout()) < 0 ? threshold : times.takeoverTimeout();
    }

    /** Sets the listener that is called for each shard that is lost because the membership is lost. */
    synchronized void setLossListener(Consumer<ShardId> listener) {
        lossListener = listener;
    }

    /**
     * A heartbeat to be written.
     *
     * @param row row to write
     * @param expectedVersion version that the row in the table must have
     * @param sentNanos time from which the membership lease counts if the heartbeat takes effect
     */
    record Heartbeat(NodeRow row, long expectedVersion, long sentNanos) {}

    /** Returns the next heartbeat, empty while the version of the local row is unknown or after {@link #stop}. */
    synchronized Optional<Heartbeat> nextHeartbeat() {
        if (localRowVersion.isEmpty() || stopped) {
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        lastCounter++;
        List<SilentPeer> silent = statusTracker.statusAt(nowNanos) == MembershipStatus.CONFIRMED
                ? silenceTracker.peersToRecord(self.node(), view, nowNanos)
                : List.of();
        silenceTracker.heartbeatAttempted(lastCounter, silent);
        heartbeatSentNanos.put(lastCounter, nowNanos);
        NodeRow row = new NodeRow(
                self.node(),
                self.incarnation(),
                lastCounter,
                settings.dataCentre(),
                settings.callerAddress(),
                leaving ? NodeState.LEAVING : NodeState.LIVE,
                silent);
        return Optional.of(new Heartbeat(row, localRowVersion.get(), nowNanos));
    }

    /** Records that the heartbeat took effect. */
    synchronized void recordHeartbeatApplied(Heartbeat heartbeat) {
        if (isOfCurrentIncarnation(heartbeat.row())) {
            recordWrittenRow(heartbeat.row().counter(), heartbeat.expectedVersion() + 1);
        }
    }

    /** Records that the heartbeat did not and will not take effect. */
    synchronized void recordHeartbeatNotApplied(Heartbeat heartbeat) {
        if (isOfCurrentIncarnation(heartbeat.row())) {
            silenceTracker.heartbeatDropped(heartbeat.row().counter());
            heartbeatSentNanos.remove(heartbeat.row().counter());
        }
    }

    /** Marks the version of the local row as unknown; it has to be read again before the next heartbeat. */
    synchronized void invalidateLocalRowVersion() {
        localRowVersion = Optional.empty();
    }

    /**
     * Records the result of reading the local row with a request sent at {@code sentNanos}. A result is ignored if its
     * request was sent before the known row version was recorded. Membership is lost if this process has joined and the
     * row is missing, has state {@code GONE} or is of another incarnation, and also if the row is of the current
     * incarnation and has state {@code GONE}.
     */
    synchronized void recordLocalRow(Optional<VersionedNodeRow> stored, long sentNanos) {
        if (sentNanos < localRowVersionRecordedNanos) {
            return;
        }
        boolean ofCurrentIncarnation =
                stored.isPresent() && isOfCurrentIncarnation(stored.get().row());
        boolean usable = ofCurrentIncarnation && stored.get().row().state() != NodeState.GONE;
        if (usable) {
            recordWrittenRow(stored.get().row().counter(), stored.get().version());
            return;
        }
        if (statusTracker.isJoined() || ofCurrentIncarnation) {
            loseMembership();
        }
        localRowVersion = Optional.of(stored.map(VersionedNodeRow::version).orElse(0L));
        localRowVersionRecordedNanos = clock.nowNanos();
    }

    private boolean isOfCurrentIncarnation(NodeRow row) {
        return row.incarnation().equals(self.incarnation());
    }

    private void recordWrittenRow(long counter, long version) {
        if (localRowVersion.isPresent() && version < localRowVersion.get()) {
            return;
        }
        Long sentNanos = heartbeatSentNanos.get(counter);
        if (sentNanos != null) {
            statusTracker.recordHeartbeat(sentNanos);
            silenceTracker.heartbeatWritten(counter);
            heartbeatSentNanos.headMap(counter, true).clear();
        }
        localRowVersion = Optional.of(version);
        localRowVersionRecordedNanos = clock.nowNanos();
    }

    private void loseMembership() {
        LOG.atWarning().log("membership of %s lost; joining again with a new incarnation", self.node());
        statusTracker.recordMembershipLoss();
        silenceTracker.clearRecords();
        heartbeatSentNanos.clear();
        lastCounter = 0;
        List<ShardId> lost = ownedShards.removeAll();
        self.setIncarnation(incarnations.next());
        ownedVersion++;
        lost.forEach(lossListener);
    }

    /** Records the node rows that a poll has read. */
    synchronized void recordPoll(NodeScan scan, long sentNanos, long receivedNanos) {
        List<VersionedNodeRow> stored = scan.nodes();
        viewComplete = scan.complete();
        view.observe(stored.stream().map(VersionedNodeRow::row).toList(), sentNanos, receivedNanos);
        rowVersions.clear();
        stored.forEach(node -> rowVersions.put(node.row().node(), node.version()));
        Optional<VersionedNodeRow> localRow = stored.stream()
                .filter(node -> node.row().node().equals(self.node()))
                .findFirst();
        recordLocalRow(localRow, sentNanos);
    }

    /** Records that this node has the node rows and the configuration that were current at {@code sentNanos} or later. */
    synchronized void recordUpToDate(long sentNanos) {
        statusTracker.recordPoll(sentNanos);
    }

    /** Records that the platform responded to a request that this node itself sent. */
    synchronized void recordPlatformResponse(long sentNanos) {
        platformResponded = true;
        lastPlatformResponseNanos = Math.max(lastPlatformResponseNanos, sentNanos);
    }

    /** Records outage evidence that a peer gave in response to a ping sent at {@code sentNanos}. */
    synchronized void recordOutageEvidence(long sentNanos) {
        statusTracker.recordEvidence(sentNanos);
    }

    /** Returns whether the platform responded recently to a request that this node itself sent. */
    synchronized boolean hasPlatformAccess() {
        return platformResponded && clock.nowNanos() - lastPlatformResponseNanos < recencyWindow.toNanos();
    }

    /**
     * Returns whether a peer should relay a heartbeat of this node, because none, sent directly or relayed, has taken effect
     * recently.
     */
    synchronized boolean needsRelay() {
        return !stopped && !statusTracker.confirmedWithin(recencyWindow, clock.nowNanos());
    }

    /**
     * Returns whether this node should ask its peers for outage evidence at once, because no heartbeat has taken effect
     * recently and the evidence that it has, if any, expires soon. An isolated node asks for none, because it could not use
     * it.
     */
    synchronized boolean needsOutageEvidence() {
        long nowNanos = clock.nowNanos();
        return !stopped
                && statusTracker.isJoined()
                && statusTracker.statusAt(nowNanos) != MembershipStatus.ISOLATED
                && !statusTracker.confirmedWithin(recencyWindow, nowNanos)
                && !statusTracker.hasEvidenceFor(
                        settings.cluster().membershipLease().dividedBy(2), nowNanos);
    }

    /**
     * Returns whether this node gives outage evidence to the peer: it is a member that is neither leaving, stopped nor
     * isolated, none of its heartbeats was confirmed recently, and no version of its row that may be in the table records
     * the peer as silent. The time at which evidence is given is kept, because the peer must not be recorded as silent
     * while it may rely on the evidence.
     */
    synchronized boolean decideOutageEvidence(NodeId peer, Incarnation incarnation) {
        long nowNanos = clock.nowNanos();
        boolean given = statusTracker.isJoined()
                && !leaving
                && !stopped
                && statusTracker.statusAt(nowNanos) != MembershipStatus.ISOLATED
                && !statusTracker.confirmedWithin(recencyWindow, nowNanos)
                && !silenceTracker.mayBeRecorded(peer, incarnation);
        if (given) {
            silenceTracker.evidenceGiven(peer, nowNanos);
        }
        return given;
    }

    synchronized MembershipStatus status() {
        if (stopped) {
            return MembershipStatus.ISOLATED;
        }
        long nowNanos = clock.nowNanos();
        MembershipStatus status = statusTracker.statusAt(nowNanos);
        if (status != lastStatus) {
            lastStatus = status;
            LOG.atInfo().log(
                    "membership status of %s is %s; %s", self.node(), status, statusTracker.describeAt(nowNanos));
        }
        return status;
    }

    synchronized boolean isJoined() {
        return statusTracker.isJoined();
    }

    synchronized boolean isLeaving() {
        return leaving;
    }

    /**
     * Marks this node as leaving, which its next heartbeats state: it accepts no handovers, claims no shards and gives no
     * outage evidence from now on.
     */
    synchronized void leave() {
        leaving = true;
    }

    /** Ends the membership; returns whether the local row may be marked as gone immediately. */
    synchronized boolean stop() {
        stopped = true;
        return statusTracker.isJoined()
                && ownedShards.list().isEmpty()
                && silenceTracker.areAllEvidenceCooldownsOver(clock.nowNanos());
    }

    /** Applies {@code query} to the view while holding the lock. */
    synchronized <T> T queryView(Function<MembershipView, T> query) {
        return query.apply(view);
    }

    /** Returns whether all node rows of the last poll could be read. */
    synchronized boolean isViewComplete() {
        return viewComplete;
    }

    /** Returns the version of the node's row at the last poll, 0 if there was none. */
    synchronized long rowVersionOf(NodeId node) {
        return rowVersions.getOrDefault(node, 0L);
    }

    /** Returns the last known rows of the other nodes that are not gone. */
    synchronized List<NodeRow> peerRows() {
        List<NodeRow> known = new ArrayList<>(view.rows());
        if (known.isEmpty()) {
            known.addAll(peerReportedRows.values());
        }
        return known.stream()
                .filter(row -> !row.node().equals(self.node()))
                .filter(row -> row.state() != NodeState.GONE)
                .toList();
    }

    /** Records node rows reported by a peer; they are used only until the first poll. */
    synchronized void addPeerReportedRows(List<NodeRow> rows) {
        rows.forEach(row -> peerReportedRows.put(row.node(), row));
    }

    /** Returns all rows of the last poll. */
    synchronized List<NodeRow> polledRows() {
        return view.rows();
    }

    OwnedShards ownedShards() {
        return ownedShards;
    }

    /**
     * Runs {@code change}, which changes the owned shards, if this node is still a member under {@code incarnation};
     * returns whether it was run.
     */
    synchronized boolean changeOwnershipIfMember(Incarnation incarnation, Runnable change) {
        boolean member =
                !stopped && statusTracker.isJoined() && self.incarnation().equals(incarnation);
        if (member) {
            change.run();
            ownedVersion++;
        }
        return member;
    }

    /** Returns a number that grows with each change of the owned shards. */
    synchronized long ownedVersion() {
        return ownedVersion;
    }
}
