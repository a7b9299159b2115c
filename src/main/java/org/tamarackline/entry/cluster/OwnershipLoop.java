package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipView;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.membership.NodeState;
import org.tamarackline.core.membership.Standing;
import org.tamarackline.core.membership.TakeoverRule;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.ownership.Shard;
import org.tamarackline.core.ownership.ShardAssignment;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TransactionConflictException;
import org.tamarackline.store.VmDirectory;

/**
 * Takes over, claims and hands over shards. All methods but {@link #requestScan} and {@link #received} run on one thread
 * at a time, so that a reading of the shard rows is never applied after a later handover.
 */
final class OwnershipLoop {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** At the target size a scan of 125 shard rows of about 200 bytes each 5 s uses 5 KB/s. */
    private static final Duration SCAN_INTERVAL = Duration.ofSeconds(5);
    /** The VM list of 1,000 workers has about 200 KB. */
    private static final Duration VM_INTERVAL = Duration.ofSeconds(30);

    private static final Duration VM_RETRY_INTERVAL = Duration.ofSeconds(2);
    private static final Duration RECEIVED_KEPT = Duration.ofSeconds(60);
    private static final int CLAIMS_PER_TRANSACTION = 100;

    private final EntrySettings settings;
    private final LocalNode self;
    private final MonotonicClock clock;
    private final ClusterTable table;
    private final MembershipState state;
    private final PeerDirectory directory;
    private final PeerCaller peers;
    private final VmDirectory vms;
    private final Listeners listeners;
    private final TakeoverRule rule;
    private final RegionShards shards;
    private final AtomicBoolean scanRequested = new AtomicBoolean(true);
    private final Map<ShardId, Received> received = new HashMap<>();
    private final Map<ShardId, Long> orphanSinceNanos = new HashMap<>();
    private Map<ShardId, StoredShard> rows = new TreeMap<>();
    private Set<NodeId> candidatesAtScan = Set.of();
    private long scanDueNanos;
    private long vmsDueNanos;
    private long rebalanceDueNanos;

    /** State of a shard that its owner is about to hand over to this node. */
    private record Received(ShardRow next, JsonNode state, long atNanos) {}

    OwnershipLoop(ClusterParts parts, VmDirectory vms, Listeners listeners) {
        settings = parts.settings();
        self = parts.self();
        clock = parts.clock();
        table = parts.table();
        state = parts.state();
        directory = parts.directory();
        peers = parts.peers();
        this.vms = vms;
        this.listeners = listeners;
        rule = new TakeoverRule(
                settings.cluster().takeTime(), settings.cluster().outageGrace());
        shards = new RegionShards(settings.requests().runnerGroups());
        long nowNanos = clock.nowNanos();
        scanDueNanos = nowNanos;
        vmsDueNanos = nowNanos;
        rebalanceDueNanos = nowNanos + settings.cluster().rebalanceInterval().toNanos();
    }

    /** Has the shard rows read at the next tick. */
    void requestScan() {
        scanRequested.set(true);
    }

    /** Keeps the state of a shard that is about to be handed over; returns false if it is not meant for this process. */
    boolean received(ShardRow next, JsonNode shardState) {
        boolean mine = next.owner().equals(self.node()) && next.incarnation().equals(self.incarnation());
        if (!mine || state.isLeaving() || state.standing() != Standing.CONFIRMED) {
            return false;
        }
        synchronized (received) {
            received.put(next.shard(), new Received(next, shardState, clock.nowNanos()));
        }
        return true;
    }

    /** Takes the steps that are due. */
    void tick() {
        listeners.deliver();
        if (state.standing() != Standing.CONFIRMED || !state.isJoined()) {
            scanRequested.set(true);
            return;
        }
        try {
            refreshVms();
            takeOverSilent();
            if (scanIsDue()) {
                scan();
                deleteOneOldRow();
            }
            if (!state.isLeaving()) {
                claimOrphans();
                rebalance();
            }
        } catch (PlatformException e) {
            LOG.atFine().withCause(e).log("ownership step failed");
            scanRequested.set(true);
        }
        listeners.deliver();
    }

    private void refreshVms() {
        long nowNanos = clock.nowNanos();
        if (nowNanos < vmsDueNanos) {
            return;
        }
        Duration next = VM_RETRY_INTERVAL;
        try {
            List<VmRecord> list = List.copyOf(vms.list());
            shards.setVms(list);
            next = list.isEmpty() ? VM_RETRY_INTERVAL : VM_INTERVAL;
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("VM list could not be read");
        }
        vmsDueNanos = nowNanos + next.toNanos();
    }

    /** Marks members as gone that have certainly stopped acting. */
    private void takeOverSilent() throws PlatformException {
        List<NodeRow> allowed = state.decide(view -> view.rows().stream()
                .filter(row -> !row.node().equals(self.node()))
                .filter(row -> rule.judge(row, view) instanceof TakeoverRule.Verdict.Allowed)
                .toList());
        if (settings.cluster().singleNode() || !state.viewIsComplete()) {
            return;
        }
        for (NodeRow row : allowed) {
            markGone(row);
        }
    }

    private void markGone(NodeRow row) throws PlatformException {
        try {
            table.writeNode(row.withState(NodeState.GONE), state.versionOf(row.node()), ClusterTable.newToken());
            LOG.atWarning().log("node %s is silent and was marked as gone", row.node());
        } catch (TransactionConflictException e) {
            LOG.atFine().withCause(e).log("node %s is not gone", row.node());
        }
        scanRequested.set(true);
    }

    /** Deletes the row of a node that has been gone for long and owns nothing, as each replaced VM leaves one behind. */
    private void deleteOneOldRow() throws PlatformException {
        Duration kept = settings.cluster().outageGrace().plus(settings.cluster().takeTime());
        Set<NodeId> owners =
                rows.values().stream().map(stored -> stored.row().owner()).collect(Collectors.toSet());
        Optional<NodeRow> old = state.decide(view -> view.rows().stream()
                .filter(row -> row.state() == NodeState.GONE)
                .filter(row -> view.unchangedFor(row.node()).compareTo(kept) >= 0)
                .filter(row -> !owners.contains(row.node()))
                .filter(row -> hasOtherRow(view, row))
                .findFirst());
        if (old.isEmpty()) {
            return;
        }
        try {
            table.deleteNode(old.get().node(), state.versionOf(old.get().node()));
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

    private boolean scanIsDue() {
        boolean requested = scanRequested.getAndSet(false);
        return requested
                || clock.nowNanos() >= scanDueNanos
                || !candidateNodes().equals(candidatesAtScan);
    }

    private Set<NodeId> candidateNodes() {
        return candidates().stream().map(ShardAssignment.Candidate::node).collect(Collectors.toSet());
    }

    /** Reads the shard rows and settles what they say of this node. */
    private void scan() throws PlatformException {
        Incarnation incarnation = self.incarnation();
        Map<ShardId, StoredShard> read = new TreeMap<>();
        for (StoredShard stored : table.shards()) {
            read.put(stored.row().shard(), stored);
            ShardRow row = stored.row();
            directory.ownerSeen(row.shard(), row.owner(), row.epoch());
        }
        rows = read;
        shards.addRows(read.values());
        scanDueNanos = clock.nowNanos() + SCAN_INTERVAL.toNanos();
        candidatesAtScan = candidateNodes();
        List<Shard> reclaims = new ArrayList<>();
        for (StoredShard stored : read.values()) {
            settle(stored, incarnation, reclaims);
        }
        dropOldReceived();
        if (!reclaims.isEmpty()) {
            claim(reclaims);
        }
    }

    private void settle(StoredShard stored, Incarnation incarnation, List<Shard> reclaims) {
        ShardRow row = stored.row();
        boolean named = row.owner().equals(self.node()) && row.incarnation().equals(incarnation);
        Optional<Epoch> owned = state.owned().epochOf(row.shard());
        if (owned.isPresent() && !(named && owned.get().equals(row.epoch()))) {
            LOG.atSevere().log("shard %s was taken from this node although it was a member", row.shard());
            state.ifStill(incarnation, () -> state.owned().giveUp(row.shard()));
            listeners.lost(row.shard());
        } else if (named && state.owned().wasGivenUp(row.shard(), row.epoch())) {
            // The answer to a handover was lost, and the handover may still arrive: a further write rules that out.
            reclaims.add(Shard.of(row.shard(), row.dataCentre()));
        } else if (named && owned.isEmpty()) {
            adopt(row, incarnation);
        }
    }

    /** Takes up a shard whose row names this process, after a handover or a claim whose answer was lost. */
    private void adopt(ShardRow row, Incarnation incarnation) {
        Optional<Received> handover = takeReceived(row);
        OwnershipListener.Origin origin = handover.isPresent()
                ? OwnershipListener.Origin.HANDOVER
                : row.epoch().value() == 1 ? OwnershipListener.Origin.FIRST : OwnershipListener.Origin.TAKEOVER;
        gain(row, incarnation, origin, handover.map(Received::state));
    }

    private Optional<Received> takeReceived(ShardRow row) {
        synchronized (received) {
            Received candidate = received.get(row.shard());
            if (candidate == null || !candidate.next().equals(row)) {
                return Optional.empty();
            }
            return Optional.of(received.remove(row.shard()));
        }
    }

    private void dropOldReceived() {
        long oldestNanos = clock.nowNanos() - RECEIVED_KEPT.toNanos();
        synchronized (received) {
            received.values().removeIf(entry -> entry.atNanos() < oldestNanos);
        }
    }

    private void gain(
            ShardRow row, Incarnation incarnation, OwnershipListener.Origin origin, Optional<JsonNode> handedOver) {
        boolean[] added = new boolean[1];
        state.ifStill(incarnation, () -> {
            added[0] = state.owned().add(row.shard(), row.epoch());
            if (added[0]) {
                listeners.gained(row.shard(), row.epoch(), origin, handedOver);
            }
        });
        if (added[0]) {
            directory.ownerSeen(row.shard(), self.node(), row.epoch());
            LOG.atInfo().log(
                    "shard %s gained by %s at epoch %d",
                    row.shard(), origin, row.epoch().value());
        }
    }

    private List<ShardAssignment.Candidate> candidates() {
        Duration silence = settings.cluster().takeTime();
        return state.decide(view -> view.rows().stream()
                .filter(row -> row.state() == NodeState.LIVE)
                .filter(row -> view.silentFor(row.node()).compareTo(silence) < 0)
                .filter(row -> !directory.isLeaving(row.node()))
                .map(row -> new ShardAssignment.Candidate(row.node(), row.dataCentre()))
                .toList());
    }

    private Map<ShardId, NodeId> preferredOwners() {
        return ShardAssignment.assign(shards.all(), candidates());
    }

    private void claimOrphans() throws PlatformException {
        List<NodeRow> nodeRows = state.allRows();
        shards.setDataCentres(nodeRows.stream().map(NodeRow::dataCentre).collect(Collectors.toSet()));
        Map<NodeId, NodeRow> nodes = byNode(nodeRows);
        List<Shard> suspects =
                shards.all().stream().filter(shard -> isOrphan(shard, nodes)).toList();
        orphanSinceNanos.keySet().retainAll(suspects.stream().map(Shard::id).toList());
        if (suspects.isEmpty()) {
            return;
        }
        List<Shard> due = dueClaims(suspects);
        if (due.isEmpty()) {
            return;
        }
        // A row of the last poll may be older than the shard rows: an owner that joined in between is not in it.
        NodeScan scan = table.nodes();
        if (!scan.complete()) {
            return;
        }
        Map<NodeId, NodeRow> current =
                byNode(scan.nodes().stream().map(StoredNode::row).toList());
        List<Shard> orphans =
                due.stream().filter(shard -> isOrphan(shard, current)).toList();
        for (int start = 0; start < orphans.size(); start += CLAIMS_PER_TRANSACTION) {
            claim(orphans.subList(start, Math.min(orphans.size(), start + CLAIMS_PER_TRANSACTION)));
        }
    }

    private static Map<NodeId, NodeRow> byNode(List<NodeRow> nodeRows) {
        Map<NodeId, NodeRow> nodes = new HashMap<>();
        nodeRows.forEach(row -> nodes.put(row.node(), row));
        return nodes;
    }

    private boolean isOrphan(Shard shard, Map<NodeId, NodeRow> nodes) {
        StoredShard stored = rows.get(shard.id());
        if (stored == null) {
            return true;
        }
        NodeRow owner = nodes.get(stored.row().owner());
        return owner == null
                || owner.state() == NodeState.GONE
                || !owner.incarnation().equals(stored.row().incarnation());
    }

    /** Returns the orphans that this node should claim: as preferred owner at once, otherwise after a delay. */
    private List<Shard> dueClaims(List<Shard> orphans) {
        // Nodes that start together see each other first, so that none of them claims everything.
        Duration settling = settings.cluster().heartbeatInterval().multipliedBy(2);
        if (!settings.cluster().singleNode() && !state.decide(view -> view.observedFor(settling))) {
            return List.of();
        }
        long nowNanos = clock.nowNanos();
        long delayNanos = settings.cluster().takeTime().toNanos();
        Map<ShardId, NodeId> preferred = preferredOwners();
        List<Shard> due = new ArrayList<>();
        for (Shard orphan : orphans) {
            long sinceNanos = orphanSinceNanos.computeIfAbsent(orphan.id(), key -> nowNanos);
            if (self.node().equals(preferred.get(orphan.id())) || nowNanos - sinceNanos >= delayNanos) {
                due.add(orphan);
            }
        }
        return due;
    }

    private void claim(List<Shard> orphans) throws PlatformException {
        Incarnation incarnation = self.incarnation();
        Map<StoredShard, OwnershipListener.Origin> claims = new LinkedHashMap<>();
        for (Shard orphan : orphans) {
            StoredShard stored = rows.get(orphan.id());
            if (stored == null) {
                ShardRow first = new ShardRow(orphan.id(), self.node(), incarnation, new Epoch(1), orphan.dataCentre());
                claims.put(new StoredShard(first, 0), OwnershipListener.Origin.FIRST);
            } else {
                ShardRow next = stored.row().ownedBy(self.node(), incarnation);
                claims.put(new StoredShard(next, stored.version()), OwnershipListener.Origin.TAKEOVER);
            }
        }
        scanRequested.set(true);
        if (state.standing() != Standing.CONFIRMED) {
            return;
        }
        try {
            table.writeShards(List.copyOf(claims.keySet()));
        } catch (TransactionConflictException e) {
            LOG.atFine().withCause(e).log("another node claimed one of the shards");
            return;
        }
        claims.forEach((stored, origin) -> {
            rows.put(stored.row().shard(), new StoredShard(stored.row(), stored.version() + 1));
            gain(stored.row(), incarnation, origin, Optional.empty());
        });
    }

    private void rebalance() throws PlatformException {
        if (clock.nowNanos() < rebalanceDueNanos) {
            return;
        }
        rebalanceDueNanos =
                clock.nowNanos() + settings.cluster().rebalanceInterval().toNanos();
        Map<ShardId, NodeId> preferred = preferredOwners();
        for (ShardId shard : state.owned().list()) {
            NodeId target = preferred.get(shard);
            if (target != null && !target.equals(self.node())) {
                handOver(shard, target);
                return;
            }
        }
    }

    /** Hands all shards over to other nodes; returns those that this node still owns. */
    List<ShardId> handOverAll() {
        listeners.deliver();
        Set<NodeId> failed = new HashSet<>();
        try {
            if (state.standing() == Standing.CONFIRMED) {
                scan();
                for (ShardId shard : state.owned().list()) {
                    handOverToAny(shard, failed);
                }
            }
        } catch (PlatformException e) {
            LOG.atInfo().withCause(e).log("shards stay with this node until the other nodes take over");
        }
        listeners.deliver();
        return state.owned().list();
    }

    private void handOverToAny(ShardId shard, Set<NodeId> failed) throws PlatformException {
        List<ShardAssignment.Candidate> others = candidates().stream()
                .filter(candidate -> !candidate.node().equals(self.node()))
                .filter(candidate -> !failed.contains(candidate.node()))
                .toList();
        NodeId target = ShardAssignment.assign(shards.all(), others).get(shard);
        if (target != null && !handOver(shard, target)) {
            failed.add(target);
        }
    }

    /** Hands one shard over; returns whether the target owns it now. */
    private boolean handOver(ShardId shard, NodeId target) throws PlatformException {
        StoredShard stored = rows.get(shard);
        Optional<NodeRow> targetRow = state.decide(view -> view.row(target));
        if (stored == null
                || targetRow.isEmpty()
                || state.owned().epochOf(shard).isEmpty()) {
            return false;
        }
        Incarnation incarnation = self.incarnation();
        ShardRow next = stored.row().ownedBy(target, targetRow.get().incarnation());
        JsonNode shardState = listeners.prepareHandover(shard);
        if (!send(target, next, shardState)) {
            resume(shard, stored.row(), shardState);
            return false;
        }
        if (!state.ifStill(incarnation, () -> state.owned().giveUp(shard))) {
            return false;
        }
        return commitHandover(new StoredShard(next, stored.version()), stored, incarnation, shardState);
    }

    private boolean commitHandover(StoredShard next, StoredShard stored, Incarnation incarnation, JsonNode shardState)
            throws PlatformException {
        ShardId shard = next.row().shard();
        try {
            table.writeShards(List.of(next));
        } catch (TransactionConflictException | PlatformUnavailableException e) {
            LOG.atInfo().withCause(e).log("handover of %s was not committed", shard);
            Epoch epoch = stored.row().epoch();
            if (state.ifStill(incarnation, () -> state.owned().takeBack(shard, epoch))) {
                resume(shard, stored.row(), shardState);
            }
            scanRequested.set(true);
            return false;
        } catch (OutcomeUnknownException e) {
            listeners.lost(shard);
            scanRequested.set(true);
            throw e;
        }
        rows.put(shard, new StoredShard(next.row(), next.version() + 1));
        directory.ownerSeen(shard, next.row().owner(), next.row().epoch());
        listeners.lost(shard);
        listeners.deliver();
        call(next.row().owner(), new ClusterMessages.HandOverDone(shard));
        LOG.atInfo().log("shard %s handed over to %s", shard, next.row().owner());
        return true;
    }

    /** Lets the listener go on with a shard whose handover did not take place. */
    private void resume(ShardId shard, ShardRow row, JsonNode shardState) {
        listeners.lost(shard);
        listeners.gained(shard, row.epoch(), OwnershipListener.Origin.HANDOVER, Optional.of(shardState));
        listeners.deliver();
    }

    private boolean send(NodeId target, ShardRow next, JsonNode shardState) {
        return call(target, new ClusterMessages.HandOverShard(next, shardState))
                .filter(PeerMessage.Ok.class::isInstance)
                .isPresent();
    }

    private Optional<PeerMessage> call(NodeId target, PeerMessage request) {
        try {
            return Optional.of(peers.call(target, request, settings.cluster().requestTimeout()));
        } catch (PeerException e) {
            LOG.atInfo().withCause(e).log("call to %s failed", target);
            return Optional.empty();
        }
    }
}
