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

/** The membership of this node in memory. Thread-safe; no method waits for anything but its lock. */
final class MembershipState {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final EntrySettings settings;
    private final LocalNode self;
    private final MonotonicClock clock;
    private final IncarnationSource incarnations;
    private final Duration maxPlatformResponseAge;
    private final MembershipStatusTracker status;
    private final MembershipView view;
    private final SilenceTracker silenceTracker;
    private final OwnedShards ownedShards = new OwnedShards();
    private final TreeMap<Long, Long> heartbeatSentNanos = new TreeMap<>();
    private final Map<NodeId, NodeRow> peerReportedRows = new TreeMap<>();
    private final Map<NodeId, Long> rowVersions = new HashMap<>();

    private Consumer<ShardId> lossListener = shard -> {};
    private Optional<Long> localRowVersion = Optional.empty();
    private long localRowVersionNanos;
    private long lastCounter;
    private boolean viewComplete;
    private boolean leaving;
    private boolean stopped;
    private boolean platformResponded;
    private long lastPlatformResponseNanos;
    private long ownedVersion;

    MembershipState(EntrySettings settings, LocalNode self, MonotonicClock clock, IncarnationSource incarnations) {
        this.settings = settings;
        this.self = self;
        this.clock = clock;
        this.incarnations = incarnations;
        EntrySettings.ClusterTimes times = settings.cluster();
        maxPlatformResponseAge = times.heartbeatInterval().multipliedBy(3).dividedBy(2);
        status = new MembershipStatusTracker(times.holdTime(), times.outageGrace(), times.singleNode());
        view = new MembershipView(times.pollInterval().multipliedBy(3));
        silenceTracker =
                new SilenceTracker(silenceThreshold(times), times.holdTime().plus(times.driftMargin()));
    }

    /**
     * Returns the silence after which a member is recorded: early enough for the record to be seen by {@code takeTime}, and
     * late enough for evidence from an earlier incarnation of this node to have ended.
     */
    private static Duration silenceThreshold(EntrySettings.ClusterTimes times) {
        Duration visibleByTakeoverTimeout =
                times.takeTime().minus(times.heartbeatInterval()).minus(times.pollInterval());
        Duration evidenceExpiry = times.holdTime().plus(times.driftMargin());
        Duration threshold =
                visibleByTakeoverTimeout.compareTo(evidenceExpiry) > 0 ? visibleByTakeoverTimeout : evidenceExpiry;
        return threshold.compareTo(times.takeTime()) < 0 ? threshold : times.takeTime();
    }

    /** Sets who is told of each shard that is lost with the membership. */
    synchronized void setLossListener(Consumer<ShardId> listener) {
        lossListener = listener;
    }

    /**
     * A heartbeat to be sent.
     *
     * @param row row to write
     * @param expectedVersion version that the row must have
     * @param sentNanos time at which the heartbeat counts as sent
     */
    record Heartbeat(NodeRow row, long expectedVersion, long sentNanos) {}

    /** Returns the next heartbeat, empty while the version of the own row is not known or after the end. */
    synchronized Optional<Heartbeat> nextHeartbeat() {
        if (localRowVersion.isEmpty() || stopped) {
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        lastCounter++;
        List<SilentPeer> silent = status.statusAt(nowNanos) == MembershipStatus.CONFIRMED
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

    /** Notes that the heartbeat took effect. */
    synchronized void recordHeartbeatApplied(Heartbeat heartbeat) {
        if (isCurrent(heartbeat.row())) {
            confirm(heartbeat.row().counter(), heartbeat.expectedVersion() + 1);
        }
    }

    /** Notes that the heartbeat did not and will not take effect. */
    synchronized void recordHeartbeatNotApplied(Heartbeat heartbeat) {
        if (isCurrent(heartbeat.row())) {
            silenceTracker.heartbeatDropped(heartbeat.row().counter());
            heartbeatSentNanos.remove(heartbeat.row().counter());
        }
    }

    /** Notes that the version of the own row has to be read again before the next heartbeat. */
    synchronized void invalidateLocalRowVersion() {
        localRowVersion = Optional.empty();
    }

    /** Takes in a reading of the own row that was sent at {@code sentNanos}. */
    synchronized void recordLocalRow(Optional<VersionedNodeRow> stored, long sentNanos) {
        if (sentNanos < localRowVersionNanos) {
            return;
        }
        boolean writtenByThisProcess =
                stored.isPresent() && isCurrent(stored.get().row());
        boolean usable = writtenByThisProcess && stored.get().row().state() != NodeState.GONE;
        if (usable) {
            confirm(stored.get().row().counter(), stored.get().version());
            return;
        }
        if (status.isJoined() || writtenByThisProcess) {
            loseMembership();
        }
        localRowVersion = Optional.of(stored.map(VersionedNodeRow::version).orElse(0L));
        localRowVersionNanos = clock.nowNanos();
    }

    private boolean isCurrent(NodeRow row) {
        return row.incarnation().equals(self.incarnation());
    }

    private void confirm(long counter, long version) {
        if (localRowVersion.isPresent() && version < localRowVersion.get()) {
            return;
        }
        Long sentNanos = heartbeatSentNanos.get(counter);
        if (sentNanos != null) {
            status.recordHeartbeat(sentNanos);
            silenceTracker.heartbeatWritten(counter);
            heartbeatSentNanos.headMap(counter, true).clear();
        }
        localRowVersion = Optional.of(version);
        localRowVersionNanos = clock.nowNanos();
    }

    private void loseMembership() {
        LOG.atWarning().log("membership of %s lost; joining again with a new incarnation", self.node());
        status.recordMembershipLoss();
        silenceTracker.clearRecords();
        heartbeatSentNanos.clear();
        lastCounter = 0;
        List<ShardId> lost = ownedShards.removeAll();
        self.renew(incarnations.next());
        ownedVersion++;
        lost.forEach(lossListener);
    }

    /** Takes in the node rows of a poll. */
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

    /** Notes that the node rows and the configuration of a poll sent at {@code sentNanos} are known here. */
    synchronized void recordCompletePoll(long sentNanos) {
        status.recordPoll(sentNanos);
    }

    /** Notes that the platform answered this node itself. */
    synchronized void recordPlatformResponse(long sentNanos) {
        platformResponded = true;
        lastPlatformResponseNanos = Math.max(lastPlatformResponseNanos, sentNanos);
    }

    /** Notes outage evidence asked for at {@code sentNanos}. */
    synchronized void recordOutageEvidence(long sentNanos) {
        status.recordEvidence(sentNanos);
    }

    /** Returns whether this node reached the platform itself a moment ago. */
    synchronized boolean hasPlatformAccess() {
        return platformResponded && clock.nowNanos() - lastPlatformResponseNanos < maxPlatformResponseAge.toNanos();
    }

    /** Returns whether neither this node nor a peer for it has reached the platform for a moment. */
    synchronized boolean needsRelay() {
        return !stopped && !status.confirmedWithin(maxPlatformResponseAge, clock.nowNanos());
    }

    /** Returns whether this node gives outage evidence to the peer, and remembers it if so. */
    synchronized boolean giveOutageEvidence(NodeId peer, Incarnation incarnation) {
        long nowNanos = clock.nowNanos();
        boolean given = status.isJoined()
                && !leaving
                && !stopped
                && status.statusAt(nowNanos) != MembershipStatus.ISOLATED
                && !status.confirmedWithin(maxPlatformResponseAge, nowNanos)
                && !silenceTracker.mayBeRecorded(peer, incarnation);
        if (given) {
            silenceTracker.evidenceGiven(peer, nowNanos);
        }
        return given;
    }

    synchronized MembershipStatus status() {
        return stopped ? MembershipStatus.ISOLATED : status.statusAt(clock.nowNanos());
    }

    synchronized boolean isJoined() {
        return status.isJoined();
    }

    synchronized boolean isLeaving() {
        return leaving;
    }

    /** Starts the shutdown: no new shards, no outage evidence for others. */
    synchronized void leave() {
        leaving = true;
    }

    /** Ends all activity; returns whether the own row may be marked as gone at once. */
    synchronized boolean stop() {
        stopped = true;
        return status.isJoined()
                && ownedShards.list().isEmpty()
                && silenceTracker.areAllEvidenceCooldownsOver(clock.nowNanos());
    }

    /** Applies {@code query} to the view under the lock. */
    synchronized <T> T queryView(Function<MembershipView, T> query) {
        return query.apply(view);
    }

    /** Returns whether all node rows of the last poll could be read. */
    synchronized boolean isViewComplete() {
        return viewComplete;
    }

    /** Returns the version of the node's row at the last poll. */
    synchronized long rowVersionOf(NodeId node) {
        return rowVersions.getOrDefault(node, 0L);
    }

    /** Returns the newest known rows of the other nodes that are not gone. */
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

    /** Takes in rows that a peer named; used only until the first poll. */
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

    /** Runs {@code change} if this node is still a member under {@code incarnation}; returns whether it was run. */
    synchronized boolean changeOwnershipIfMember(Incarnation incarnation, Runnable change) {
        boolean member = !stopped && status.isJoined() && self.incarnation().equals(incarnation);
        if (member) {
            change.run();
            ownedVersion++;
        }
        return member;
    }

    synchronized long ownedVersion() {
        return ownedVersion;
    }
}
