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
    private final Duration accessAge;
    private final MembershipStatusTracker status;
    private final MembershipView view;
    private final SilenceTracker silence;
    private final OwnedShards owned = new OwnedShards();
    private final TreeMap<Long, Long> attemptSentNanos = new TreeMap<>();
    private final Map<NodeId, NodeRow> hearsay = new TreeMap<>();
    private final Map<NodeId, Long> rowVersions = new HashMap<>();

    private Consumer<ShardId> lossListener = shard -> {};
    private Optional<Long> ownVersion = Optional.empty();
    private long ownVersionKnownNanos;
    private long lastCounter;
    private boolean complete;
    private boolean leaving;
    private boolean stopped;
    private boolean accessed;
    private long accessNanos;
    private long ownedVersion;

    MembershipState(EntrySettings settings, LocalNode self, MonotonicClock clock, IncarnationSource incarnations) {
        this.settings = settings;
        this.self = self;
        this.clock = clock;
        this.incarnations = incarnations;
        EntrySettings.ClusterTimes times = settings.cluster();
        accessAge = times.heartbeatInterval().multipliedBy(3).dividedBy(2);
        status = new MembershipStatusTracker(times.holdTime(), times.outageGrace(), times.singleNode());
        view = new MembershipView(times.pollInterval().multipliedBy(3));
        silence = new SilenceTracker(silentAfter(times), times.holdTime().plus(times.driftMargin()));
    }

    /**
     * Returns the silence after which a member is recorded: early enough for the record to be seen by {@code takeTime}, and
     * late enough for evidence from an earlier incarnation of this node to have ended.
     */
    private static Duration silentAfter(EntrySettings.ClusterTimes times) {
        Duration early = times.takeTime().minus(times.heartbeatInterval()).minus(times.pollInterval());
        Duration evidenceEnd = times.holdTime().plus(times.driftMargin());
        Duration late = early.compareTo(evidenceEnd) > 0 ? early : evidenceEnd;
        return late.compareTo(times.takeTime()) < 0 ? late : times.takeTime();
    }

    /** Sets who is told of each shard that is lost with the membership. */
    synchronized void onLoss(Consumer<ShardId> listener) {
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
        if (ownVersion.isEmpty() || stopped) {
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        lastCounter++;
        List<SilentPeer> silent = status.statusAt(nowNanos) == MembershipStatus.CONFIRMED
                ? silence.peersToRecord(self.node(), view, nowNanos)
                : List.of();
        silence.heartbeatAttempted(lastCounter, silent);
        attemptSentNanos.put(lastCounter, nowNanos);
        NodeRow row = new NodeRow(
                self.node(),
                self.incarnation(),
                lastCounter,
                settings.dataCentre(),
                settings.callerAddress(),
                leaving ? NodeState.LEAVING : NodeState.LIVE,
                silent);
        return Optional.of(new Heartbeat(row, ownVersion.get(), nowNanos));
    }

    /** Notes that the heartbeat took effect. */
    synchronized void heartbeatApplied(Heartbeat heartbeat) {
        if (isCurrent(heartbeat.row())) {
            confirm(heartbeat.row().counter(), heartbeat.expectedVersion() + 1);
        }
    }

    /** Notes that the heartbeat did not and will not take effect. */
    synchronized void heartbeatDropped(Heartbeat heartbeat) {
        if (isCurrent(heartbeat.row())) {
            silence.heartbeatDropped(heartbeat.row().counter());
            attemptSentNanos.remove(heartbeat.row().counter());
        }
    }

    /** Notes that the version of the own row has to be read again before the next heartbeat. */
    synchronized void ownRowUncertain() {
        ownVersion = Optional.empty();
    }

    /** Takes in a reading of the own row that was sent at {@code sentNanos}. */
    synchronized void ownRowRead(Optional<VersionedNodeRow> stored, long sentNanos) {
        if (sentNanos < ownVersionKnownNanos) {
            return;
        }
        boolean mine = stored.isPresent() && isCurrent(stored.get().row());
        boolean usable = mine && stored.get().row().state() != NodeState.GONE;
        if (usable) {
            confirm(stored.get().row().counter(), stored.get().version());
            return;
        }
        if (status.isJoined() || mine) {
            loseMembership();
        }
        ownVersion = Optional.of(stored.map(VersionedNodeRow::version).orElse(0L));
        ownVersionKnownNanos = clock.nowNanos();
    }

    private boolean isCurrent(NodeRow row) {
        return row.incarnation().equals(self.incarnation());
    }

    private void confirm(long counter, long version) {
        if (ownVersion.isPresent() && version < ownVersion.get()) {
            return;
        }
        Long sentNanos = attemptSentNanos.get(counter);
        if (sentNanos != null) {
            status.recordHeartbeat(sentNanos);
            silence.heartbeatWritten(counter);
            attemptSentNanos.headMap(counter, true).clear();
        }
        ownVersion = Optional.of(version);
        ownVersionKnownNanos = clock.nowNanos();
    }

    private void loseMembership() {
        LOG.atWarning().log("membership of %s lost; joining again with a new incarnation", self.node());
        status.recordMembershipLoss();
        silence.clearRecords();
        attemptSentNanos.clear();
        lastCounter = 0;
        List<ShardId> lost = owned.removeAll();
        self.renew(incarnations.next());
        ownedVersion++;
        lost.forEach(lossListener);
    }

    /** Takes in the node rows of a poll. */
    synchronized void polled(NodeScan scan, long sentNanos, long receivedNanos) {
        List<VersionedNodeRow> stored = scan.nodes();
        complete = scan.complete();
        view.observe(stored.stream().map(VersionedNodeRow::row).toList(), sentNanos, receivedNanos);
        rowVersions.clear();
        stored.forEach(node -> rowVersions.put(node.row().node(), node.version()));
        Optional<VersionedNodeRow> own = stored.stream()
                .filter(node -> node.row().node().equals(self.node()))
                .findFirst();
        ownRowRead(own, sentNanos);
    }

    /** Notes that the node rows and the configuration of a poll sent at {@code sentNanos} are known here. */
    synchronized void pollComplete(long sentNanos) {
        status.recordPoll(sentNanos);
    }

    /** Notes that the platform answered this node itself. */
    synchronized void platformAnswered(long sentNanos) {
        accessed = true;
        accessNanos = Math.max(accessNanos, sentNanos);
    }

    /** Notes outage evidence asked for at {@code sentNanos}. */
    synchronized void evidence(long sentNanos) {
        status.recordEvidence(sentNanos);
    }

    /** Returns whether this node reached the platform itself a moment ago. */
    synchronized boolean hasAccess() {
        return accessed && clock.nowNanos() - accessNanos < accessAge.toNanos();
    }

    /** Returns whether neither this node nor a peer for it has reached the platform for a moment. */
    synchronized boolean needsRelay() {
        return !stopped && !status.confirmedWithin(accessAge, clock.nowNanos());
    }

    /** Returns whether this node gives outage evidence to the peer, and remembers it if so. */
    synchronized boolean giveEvidence(NodeId peer, Incarnation incarnation) {
        long nowNanos = clock.nowNanos();
        boolean given = status.isJoined()
                && !leaving
                && !stopped
                && status.statusAt(nowNanos) != MembershipStatus.ISOLATED
                && !status.confirmedWithin(accessAge, nowNanos)
                && !silence.mayBeRecorded(peer, incarnation);
        if (given) {
            silence.evidenceGiven(peer, nowNanos);
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
        return status.isJoined() && owned.list().isEmpty() && silence.areAllEvidenceCooldownsOver(clock.nowNanos());
    }

    /** Applies {@code decision} to the view under the lock. */
    synchronized <T> T decide(Function<MembershipView, T> decision) {
        return decision.apply(view);
    }

    /** Returns whether all node rows of the last poll could be read. */
    synchronized boolean viewIsComplete() {
        return complete;
    }

    /** Returns the version of the node's row at the last poll. */
    synchronized long versionOf(NodeId node) {
        return rowVersions.getOrDefault(node, 0L);
    }

    /** Returns the newest known rows of the other nodes that are not gone. */
    synchronized List<NodeRow> otherRows() {
        List<NodeRow> known = new ArrayList<>(view.rows());
        if (known.isEmpty()) {
            known.addAll(hearsay.values());
        }
        return known.stream()
                .filter(row -> !row.node().equals(self.node()))
                .filter(row -> row.state() != NodeState.GONE)
                .toList();
    }

    /** Takes in rows that a peer named; used only until the first poll. */
    synchronized void heard(List<NodeRow> rows) {
        rows.forEach(row -> hearsay.put(row.node(), row));
    }

    /** Returns all rows of the last poll. */
    synchronized List<NodeRow> allRows() {
        return view.rows();
    }

    OwnedShards owned() {
        return owned;
    }

    /** Runs {@code change} if this node is still a member under {@code incarnation}; returns whether it was run. */
    synchronized boolean ifStill(Incarnation incarnation, Runnable change) {
        boolean still = !stopped && status.isJoined() && self.incarnation().equals(incarnation);
        if (still) {
            change.run();
            ownedVersion++;
        }
        return still;
    }

    synchronized long ownedVersion() {
        return ownedVersion;
    }
}
