package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.ownership.Shard;
import org.tamarackline.core.ownership.ShardLayout;
import org.tamarackline.core.time.ManualClock;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.store.FakePlatform;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableTransaction;

/**
 * Runs several nodes in one thread on a simulated clock and platform. Checks in each step that a shard has at most one
 * active owner, that neither epochs nor configuration versions decrease, and that connected nodes install accepted
 * configuration versions in time. A delayed write or message takes effect at a random later step, unless {@link #heal}
 * discards it first.
 */
final class SimulatedCluster {

    static final long STEP_MS = 250;

    private static final Duration STEP = Duration.ofMillis(STEP_MS);
    private static final long MAX_PROPAGATION_MS = 4_000;
    private static final String SHARD_PREFIX = "region/north/shard/";

    private final ManualClock clock = new ManualClock();
    private final FakePlatform platform = new FakePlatform();
    private final Mutation mutation;
    private final Random random;
    private final long pingPhaseMs;
    private final Map<NodeId, SimulatedNode> processes = new TreeMap<>();
    private final Map<NodeId, DataCentre> dataCentreByNode = new TreeMap<>();
    private final List<VmRecord> vms = new ArrayList<>();
    private final List<ShardId> shards;
    private final List<Runnable> delayedDeliveries = new ArrayList<>();
    private final Map<ShardId, Long> highestEpoch = new HashMap<>();
    private final Map<SimulatedNode, Long> highestConfigurationVersion = new HashMap<>();
    private final Map<Long, Long> acceptedAtMsByVersion = new TreeMap<>();
    private final Set<String> violations = new HashSet<>();
    private boolean platformDown;
    private long lastIncarnation;
    private long startedProcesses;

    SimulatedCluster(int nodes, int dataCentres, Mutation mutation, long seed) {
        this(nodes, dataCentres, mutation, seed, STEP_MS);
    }

    SimulatedCluster(int nodes, int dataCentres, Mutation mutation, long seed, long pingPhaseMs) {
        this.mutation = mutation;
        this.pingPhaseMs = pingPhaseMs;
        random = new Random(seed);
        for (int number = 0; number < nodes; number++) {
            NodeId id = new NodeId("10.0.0.%d:7400".formatted(number + 1));
            dataCentreByNode.put(id, new DataCentre("dc" + number % dataCentres));
        }
        for (int number = 0; number < dataCentres; number++) {
            vms.add(vm("runner" + number, "quotes", "dc" + number));
            vms.add(vm("worker" + number, VmRecord.WORKER_ROLE, "dc" + number));
        }
        shards = ShardLayout.of(vms, 3).shards().stream().map(Shard::id).toList();
        dataCentreByNode.keySet().forEach(this::start);
    }

    private static VmRecord vm(String id, String role, String dataCentre) {
        return new VmRecord(
                id,
                role,
                "10.1.0.1:80",
                new DataCentre(dataCentre),
                "r1",
                VmRecord.State.LIVE,
                8,
                64,
                new Resources(1, 1, 0));
    }

    /** Returns a clock that runs up to 0.4 % fast or slow, depending on the number of processes started so far. */
    MonotonicClock driftingClock() {
        double rate = 1 + 0.002 * (startedProcesses % 5 - 2);
        return () -> (long) (clock.nowNanos() * rate);
    }

    FakePlatform platform() {
        return platform;
    }

    Mutation mutation() {
        return mutation;
    }

    List<VmRecord> vms() {
        return vms;
    }

    boolean platformDown() {
        return platformDown;
    }

    void setPlatformDown(boolean down) {
        platformDown = down;
    }

    Incarnation nextIncarnation() {
        return new Incarnation(++lastIncarnation);
    }

    long pingPhaseMs() {
        return pingPhaseMs;
    }

    /** Counts the start of a process and returns the offset of its ticks. */
    long nextTickOffsetMs() {
        return STEP_MS * (startedProcesses++ % 4);
    }

    long nowMs() {
        return clock.nowNanos() / 1_000_000;
    }

    SimulatedNode process(NodeId id) {
        return processes.get(id);
    }

    /** Returns the process of the node with this number, modulo the number of nodes, if the node is not down. */
    Optional<SimulatedNode> process(int number) {
        return Optional.ofNullable(processes.get(id(number)));
    }

    private NodeId id(int number) {
        return List.copyOf(dataCentreByNode.keySet()).get(number % dataCentreByNode.size());
    }

    List<NodeId> nodeIds() {
        return List.copyOf(dataCentreByNode.keySet());
    }

    /** Returns the processes of all nodes that are not down, including the paused ones. */
    List<SimulatedNode> processes() {
        return List.copyOf(processes.values());
    }

    /** Ends the process of the node, unless it is within its tick. */
    void crash(int number) {
        NodeId id = id(number);
        SimulatedNode process = processes.get(id);
        if (process != null && !process.ticking) {
            processes.remove(id);
        }
    }

    void restart(int number) {
        if (!processes.containsKey(id(number))) {
            start(id(number));
        }
    }

    private void start(NodeId id) {
        processes.put(id, new SimulatedNode(this, id, dataCentreByNode.get(id), mutation.clusterTimes()));
    }

    /** Schedules the arrival of a delayed write or message for a random later step. */
    void deliverLater(Runnable delivery) {
        delayedDeliveries.add(delivery);
    }

    void applyDelayedWrite(TableTransaction transaction) {
        try {
            platform.transact(transaction);
        } catch (PlatformException e) {
            // The delayed write has no effect, usually because another write has changed the row first.
        }
    }

    void deliverDelayedMessage(NodeId sender, SimulatedNode target, PeerMessage request) {
        if (processes.get(target.id) == target && !target.paused) {
            target.messageHandler.handle(sender, request);
        }
    }

    void resume(SimulatedNode node) {
        node.paused = false;
        while (!node.messagesDuringPause.isEmpty()) {
            node.messagesDuringPause.poll().run();
        }
    }

    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
        }
    }

    /**
     * Advances the clock, may deliver one delayed write or message, resumes the processes whose pause has ended, and runs the
     * due loops of every process that is not paused. Checks the invariants along the way.
     */
    void step() {
        clock.advance(STEP);
        checkInvariants();
        checkEpochs();
        if (!delayedDeliveries.isEmpty() && random.nextInt(32) == 0) {
            delayedDeliveries.remove(random.nextInt(delayedDeliveries.size())).run();
            checkInvariants();
        }
        for (SimulatedNode node : processes()) {
            if (node.paused && !node.ticking && nowMs() >= node.pausedUntilMs) {
                resume(node);
            }
            if (!node.paused && !node.ticking && processes.get(node.id) == node) {
                node.tick();
                checkInvariants();
            }
        }
    }

    /** Ends all faults. Delayed writes and messages that have not arrived are discarded. */
    void heal() {
        platformDown = false;
        delayedDeliveries.clear();
        for (SimulatedNode node : processes()) {
            node.platformUnreachable = false;
            node.peersUnreachable = false;
            node.callsUntilPause = -1;
            node.pausedUntilMs = nowMs();
        }
    }

    /** Writes a new configuration version with unchanged content through the node, and records when it was accepted. */
    void changeConfiguration(SimulatedNode node, long expectedVersion) {
        if (node.paused) {
            return;
        }
        long before = currentConfigurationVersion();
        node.writer.change(expectedVersion, UnaryOperator.identity());
        for (long version = before + 1; version <= currentConfigurationVersion(); version++) {
            acceptedAtMsByVersion.putIfAbsent(version, nowMs());
        }
        checkInvariants();
    }

    long currentConfigurationVersion() {
        try {
            return platform.get("config/current")
                    .map(row -> row.value().get("version").asLong())
                    .orElse(0L);
        } catch (PlatformUnavailableException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the invariants that have been violated so far. */
    Set<String> violations() {
        return violations;
    }

    /** Returns the shards that no node with a membership status other than {@code ISOLATED} owns. */
    List<ShardId> unownedShards() {
        return shards.stream().filter(shard -> activeOwners(shard).isEmpty()).toList();
    }

    List<NodeId> activeOwners(ShardId shard) {
        return processes.values().stream()
                .filter(node -> node.clusterNode.ownedEpoch(shard).isPresent())
                .filter(node -> node.clusterNode.membershipStatus() != MembershipStatus.ISOLATED)
                .map(node -> node.id)
                .toList();
    }

    private void checkInvariants() {
        checkSingleOwner();
        checkConfigurationVersions();
    }

    private void checkSingleOwner() {
        Set<ShardId> activelyOwned = new HashSet<>();
        for (SimulatedNode node : processes.values()) {
            if (node.clusterNode.membershipStatus() != MembershipStatus.ISOLATED
                    && !node.clusterNode.ownedShards().stream().allMatch(activelyOwned::add)) {
                violations.add("two owners");
            }
        }
    }

    private void checkEpochs() {
        try {
            for (Row row : platform.scan(SHARD_PREFIX, "", 500)) {
                ShardId shard = new ShardId(row.key().substring(SHARD_PREFIX.length()));
                long epoch = row.value().get("epoch").asLong();
                long highest = highestEpoch.merge(shard, epoch, Math::max);
                if (epoch < highest) {
                    violations.add("epoch decreased");
                }
            }
        } catch (PlatformUnavailableException e) {
            throw new IllegalStateException(e);
        }
    }

    private void checkConfigurationVersions() {
        long nowMs = nowMs();
        for (SimulatedNode node : processes.values()) {
            long version = node.configurationReplica.version();
            if (version < highestConfigurationVersion.merge(node, version, Math::max)) {
                violations.add("version decreased");
            }
            if (!node.reachesPlatform()) {
                node.connectedSinceMs = nowMs;
            }
            if (version < oldestAllowedVersion(nowMs, node.connectedSinceMs)) {
                violations.add("version not in force in time");
            }
        }
    }

    /**
     * Returns the oldest configuration version that the node may still have in force. The propagation time of a version is
     * measured from its acceptance, or from when the node last became connected if that was later.
     */
    private long oldestAllowedVersion(long nowMs, long connectedSinceMs) {
        long oldest = ConfigurationReplica.NO_VERSION;
        for (Map.Entry<Long, Long> accepted : acceptedAtMsByVersion.entrySet()) {
            if (nowMs - Math.max(accepted.getValue(), connectedSinceMs) > MAX_PROPAGATION_MS) {
                oldest = accepted.getKey();
            }
        }
        return oldest;
    }
}
