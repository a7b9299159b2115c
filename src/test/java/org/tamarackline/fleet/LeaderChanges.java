package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Injects bursts of faults into a {@link ClusterSimulation}: some runners are lost for good, and a chain of leaders is
 * lost meanwhile. After each burst the cluster is left alone, so that the bounds of a calm cluster can be checked.
 */
final class LeaderChanges {

    /** Time for the cluster to start the first long-running tasks. */
    private static final int FIRST_BURST_MS = 12_000;

    /** Longest time between the loss of the runners and that of the first leader, in either order. */
    private static final int MAX_OFFSET_MS = 5_000;

    private static final int RUNNERS_LOST_WITHIN_MS = 500;

    private static final int MIN_CALM_MS = 15_000;
    private static final int MAX_CALM_MS = 20_000;
    private static final int MAX_LEADERS_LOST = 4;
    private static final int MAX_RUNNERS_LOST = 3;

    /** Number of runners that are up at the start of a burst; the long-running tasks fit on those that it leaves. */
    private static final int RUNNERS = 9;

    /** Nodes with a lower number are killed, the others only suspended or cut off. */
    private static final int KILLED_NODES = 3;

    private static final Duration WATCH_INTERVAL = Duration.ofMillis(50);

    private final ClusterSimulation cluster;
    private final ClusterFaults faults;
    private final Random random;
    private final Set<SimulatedNode> gone = new TreeSet<>(Comparator.comparing(SimulatedNode::name));
    private long highestLostEpoch;

    /** When the last fault of the burst ends as far as it is planned. */
    private long burstEndNanos;

    LeaderChanges(ClusterSimulation cluster, ClusterFaults faults, Random random) {
        this.cluster = cluster;
        this.faults = faults;
        this.random = random;
    }

    void start() {
        faults.addRunners(RUNNERS);
        fault(FIRST_BURST_MS, this::burst);
    }

    /** Plans a fault, which does not happen if the faults have ended by then. */
    private void fault(int delayMs, Runnable injection) {
        burstEndsNotBefore(delayMs);
        faults.later(Duration.ofMillis(delayMs), () -> {
            if (faults.active()) {
                injection.run();
            }
        });
    }

    private void burstEndsNotBefore(int delayMs) {
        burstEndNanos = Math.max(
                burstEndNanos,
                cluster.loop().nowNanos() + Duration.ofMillis(delayMs).toNanos());
    }

    private void burst() {
        cluster.history().event("FAULT", "leader-changes");
        returnSomeNodes();
        faults.addRunners(RUNNERS);
        int runnersMs = random.nextInt(MAX_OFFSET_MS);
        int leaderMs = random.nextInt(MAX_OFFSET_MS);
        List<ProtocolRunner> runners = new ArrayList<>(
                cluster.runners().stream().filter(ProtocolRunner::up).toList());
        int lost = 1 + random.nextInt(MAX_RUNNERS_LOST);
        for (int i = 0; i < lost; i++) {
            ProtocolRunner runner = runners.remove(random.nextInt(runners.size()));
            fault(runnersMs + random.nextInt(RUNNERS_LOST_WITHIN_MS), () -> loseRunner(runner));
        }
        fault(
                runnersMs + RUNNERS_LOST_WITHIN_MS + random.nextInt(MAX_OFFSET_MS),
                () -> faults.addRunners(RUNNERS - MAX_RUNNERS_LOST));
        highestLostEpoch = 0;
        int leaders = 1 + random.nextInt(MAX_LEADERS_LOST);
        fault(leaderMs, () -> loseNextLeader(leaders));
    }

    /** Starts some of the nodes that were killed in earlier bursts; the others may never come back. */
    private void returnSomeNodes() {
        gone.removeIf(node -> {
            boolean returns = random.nextBoolean();
            if (returns) {
                node.start();
            }
            return returns;
        });
    }

    private void loseRunner(ProtocolRunner runner) {
        boolean silent = random.nextBoolean();
        cluster.history().event("FAULT", "runner-lost", runner.id(), silent ? "silent" : "refusing connections");
        if (silent) {
            cluster.nodes().forEach(node -> cluster.setRunnerCut(node, runner.address(), true));
        }
        cluster.removeRunner(runner);
    }

    /** Waits for a leader that has not been lost yet, and loses it and its successors, as many as are to be lost. */
    private void loseNextLeader(int leaders) {
        Optional<SimulatedNode> leading = newestLeader();
        if (leading.isEmpty()) {
            watch(() -> loseNextLeader(leaders));
            return;
        }
        lose(leading.get());
        if (leaders > 1) {
            watch(() -> awaitSuccessor(leaders - 1));
        } else {
            endBurst();
        }
    }

    private void awaitSuccessor(int leaders) {
        if (newestLeader().isPresent()) {
            fault(200 + random.nextInt(5_800), () -> loseNextLeader(leaders));
        } else {
            watch(() -> awaitSuccessor(leaders));
        }
    }

    private void watch(Runnable action) {
        cluster.loop().schedule(WATCH_INTERVAL, () -> {
            if (faults.active()) {
                action.run();
            }
        });
    }

    /** Returns the leader of the highest epoch, unless it has been lost. */
    private Optional<SimulatedNode> newestLeader() {
        return cluster.nodes().stream()
                .filter(node -> epochOf(node) > highestLostEpoch)
                .max(Comparator.comparingLong(LeaderChanges::epochOf));
    }

    private static long epochOf(SimulatedNode node) {
        return node.leader().map(leader -> leader.record().epoch()).orElse(0L);
    }

    private void lose(SimulatedNode node) {
        highestLostEpoch = epochOf(node);
        boolean mayBeKilled = cluster.nodes().indexOf(node) < KILLED_NODES;
        if (mayBeKilled && random.nextInt(3) > 0) {
            cluster.history().event("FAULT", "leader-killed", node.name(), "epoch", highestLostEpoch);
            cluster.disturbed();
            node.kill();
            gone.add(node);
            return;
        }
        int timeMs = 2_000 + random.nextInt(12_000);
        burstEndsNotBefore(timeMs);
        cluster.disturbed();
        if (random.nextBoolean()) {
            cluster.history().event("FAULT", "leader-suspended", node.name(), "epoch", highestLostEpoch, timeMs, "ms");
            faults.suspend(node, Duration.ofMillis(timeMs));
        } else {
            cluster.history().event("FAULT", "leader-cut-off", node.name(), "epoch", highestLostEpoch, timeMs, "ms");
            faults.cutPeers(node, Duration.ofMillis(timeMs));
        }
    }

    /** Ends the burst once its last fault has ended, and plans the next one after a calm time. */
    private void endBurst() {
        long remainingNanos = Math.max(0, burstEndNanos - cluster.loop().nowNanos());
        cluster.loop().schedule(Duration.ofNanos(remainingNanos), () -> {
            int calmMs = MIN_CALM_MS + random.nextInt(MAX_CALM_MS - MIN_CALM_MS);
            cluster.loop().schedule(Duration.ofMillis(calmMs), () -> {
                if (faults.active()) {
                    cluster.disturbed();
                    burst();
                }
            });
        });
    }
}
