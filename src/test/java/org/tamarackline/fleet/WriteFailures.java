package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Makes the store of a {@link ClusterSimulation} fail transactions of one, some or all nodes in bursts, while it answers all
 * their reads. Some bursts meet the end of the leader, restarts of other nodes or the loss of a runner.
 *
 * <p>After each burst the cluster is left alone, so that the bounds of a calm cluster can be checked. Transactions that take
 * effect late may do so after the burst.
 */
final class WriteFailures {

    /** Time for the cluster to start the first long-running tasks. */
    private static final Duration FIRST_BURST = Duration.ofSeconds(12);

    private static final int MIN_BURST_MS = 2_000;
    private static final int MAX_BURST_MS = 10_000;
    private static final int MIN_CALM_MS = 15_000;
    private static final int MAX_CALM_MS = 20_000;

    /** Lowest probability with which a transaction of a burst fails. */
    private static final double MIN_PROBABILITY = 0.35;

    /** Number of runners that are up at the start of a burst; the long-running tasks fit on one less. */
    private static final int RUNNERS = 9;

    private static final int MAX_RESTARTED_NODES = 3;

    private static final List<NodeStore.Writes> FAILURES = List.of(
            NodeStore.Writes.REFUSED,
            NodeStore.Writes.REFUSED_AS_TOO_MANY,
            NodeStore.Writes.LOST,
            NodeStore.Writes.ANSWER_LOST,
            NodeStore.Writes.LATE);

    /** Nodes whose transactions fail in a burst. */
    private enum Extent {
        ONE_NODE,
        SOME_NODES,
        ALL_NODES
    }

    /** Extents of the bursts in the proportion in which they occur; bursts that another leader can bridge are most. */
    private static final List<Extent> EXTENTS =
            List.of(Extent.ONE_NODE, Extent.ONE_NODE, Extent.SOME_NODES, Extent.SOME_NODES, Extent.ALL_NODES);

    private final ClusterSimulation cluster;
    private final ClusterFaults faults;
    private final Random random;

    /** When the last fault of the burst ends as far as it is planned. */
    private long burstEndNanos;

    WriteFailures(ClusterSimulation cluster, ClusterFaults faults, Random random) {
        this.cluster = cluster;
        this.faults = faults;
        this.random = random;
    }

    void start() {
        faults.addRunners(RUNNERS);
        later(FIRST_BURST, this::burst);
    }

    private Duration between(int minMs, int maxMs) {
        return Duration.ofMillis(minMs + random.nextInt(maxMs - minMs));
    }

    /** Begins a fault after a delay, unless the faults have ended by then. */
    private void later(Duration delay, Runnable injection) {
        burstEndsNotBefore(delay);
        faults.later(delay, () -> {
            if (faults.active()) {
                injection.run();
            }
        });
    }

    private void burstEndsNotBefore(Duration delay) {
        burstEndNanos = Math.max(burstEndNanos, cluster.loop().nowNanos() + delay.toNanos());
    }

    private void burst() {
        faults.addRunners(RUNNERS);
        Extent extent = EXTENTS.get(random.nextInt(EXTENTS.size()));
        Duration time = between(MIN_BURST_MS, MAX_BURST_MS);
        List<SimulatedNode> failing = failingNodes(extent);
        failWrites(failing, time);
        if (random.nextBoolean()) {
            later(between(1, (int) time.toMillis()), () -> injectOtherFault(failing));
        } else if (extent == Extent.ONE_NODE) {
            cluster.expectNoLeaseExpiry(time);
        }
        awaitEndOfBurst();
    }

    private List<SimulatedNode> failingNodes(Extent extent) {
        List<SimulatedNode> nodes = new ArrayList<>(cluster.nodes());
        Collections.shuffle(nodes, random);
        boolean leaderFirst = random.nextInt(8) > 0;
        if (leaderFirst) {
            newestLeader().ifPresent(leader -> {
                nodes.remove(leader);
                nodes.addFirst(leader);
            });
        }
        return switch (extent) {
            case ONE_NODE -> nodes.subList(0, 1);
            case SOME_NODES -> nodes.subList(0, 2 + random.nextInt(nodes.size() - 2));
            case ALL_NODES -> nodes;
        };
    }

    /** Makes transactions of nodes fail, all in the same way or those of each node in a way of its own. */
    private void failWrites(List<SimulatedNode> failing, Duration time) {
        double probability = random.nextInt(3) == 0 ? 1 : MIN_PROBABILITY + (1 - MIN_PROBABILITY) * random.nextDouble();
        boolean sameWay = random.nextInt(4) > 0;
        NodeStore.Writes common = anyFailure();
        for (SimulatedNode node : failing) {
            NodeStore.Writes failure = sameWay ? common : anyFailure();
            cluster.history()
                    .event("FAULT", "writes-fail", node.name(), failure, probability, "for", time.toMillis(), "ms");
            node.storeLink().failWrites(failure, probability);
        }
        burstEndsNotBefore(time);
        faults.later(time, () -> {
            cluster.history().event("the writes of all nodes are answered again");
            failing.forEach(node -> node.storeLink().answerWrites());
        });
    }

    private NodeStore.Writes anyFailure() {
        return FAILURES.get(random.nextInt(FAILURES.size()));
    }

    private void injectOtherFault(List<SimulatedNode> failing) {
        SimulatedNode leader = newestLeader().orElse(failing.getFirst());
        switch (random.nextInt(4)) {
            case 0 -> restart(leader);
            case 1 -> {
                cluster.history().event("FAULT", "leader-stopped", leader.name());
                burstEndsNotBefore(ClusterFaults.MAX_STOP_TIME);
                faults.stop(leader);
            }
            case 2 -> restartOthers(leader);
            default -> loseRunner();
        }
    }

    private void restart(SimulatedNode node) {
        cluster.history().event("FAULT", "node-killed", node.name());
        node.kill();
        Duration downtime = between(300, 5_000);
        burstEndsNotBefore(downtime);
        faults.later(downtime, node::start);
    }

    private void restartOthers(SimulatedNode leader) {
        List<SimulatedNode> others = new ArrayList<>(cluster.nodes());
        others.remove(leader);
        Collections.shuffle(others, random);
        others.subList(0, 1 + random.nextInt(MAX_RESTARTED_NODES)).forEach(this::restart);
    }

    private void loseRunner() {
        List<ProtocolRunner> runners =
                cluster.runners().stream().filter(ProtocolRunner::up).toList();
        ProtocolRunner runner = runners.get(random.nextInt(runners.size()));
        cluster.history().event("FAULT", "runner-lost", runner.id());
        cluster.removeRunner(runner);
        later(between(500, 3_000), () -> faults.addRunners(RUNNERS - 1));
    }

    /** Plans the next burst for a calm time after the last fault of this one, which may itself cause later ones. */
    private void awaitEndOfBurst() {
        long remainingNanos = burstEndNanos - cluster.loop().nowNanos();
        if (remainingNanos > 0) {
            cluster.loop().schedule(Duration.ofNanos(remainingNanos), this::awaitEndOfBurst);
            return;
        }
        cluster.loop().schedule(between(MIN_CALM_MS, MAX_CALM_MS), () -> {
            if (faults.active()) {
                cluster.disturbed();
                burst();
            }
        });
    }

    private Optional<SimulatedNode> newestLeader() {
        return cluster.nodes().stream()
                .filter(node -> node.leader().isPresent())
                .max(Comparator.comparingLong(
                        node -> node.leader().orElseThrow().record().epoch()));
    }
}
