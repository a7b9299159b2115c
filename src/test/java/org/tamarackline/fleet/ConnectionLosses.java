package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Random;

/**
 * Makes open connections of the nodes of a {@link ClusterSimulation} go silent for good, and now and then ends the leader or
 * makes the store drop its history.
 *
 * <p>A connection that goes silent does not end the calm: others work, and new ones can be opened at any time.
 */
final class ConnectionLosses {

    /** Number of runners on which the tasks of all jobs fit. */
    private static final int RUNNERS = 10;

    /** Largest number of idle connections to the store that go silent at a time. */
    private static final int MAX_SILENT_STORE_CONNECTIONS = 8;

    private static final int MIN_TIME_BETWEEN_LOSSES_MS = 2_000;
    private static final int MAX_TIME_BETWEEN_LOSSES_MS = 9_000;

    /** Shortest time between two faults, so that the bounds of a calm cluster hold for some time between them. */
    private static final int MIN_TIME_BETWEEN_FAULTS_MS = 14_000;

    private static final int MAX_TIME_BETWEEN_FAULTS_MS = 26_000;

    private final ClusterSimulation cluster;
    private final ClusterFaults faults;
    private final Random random;

    ConnectionLosses(ClusterSimulation cluster, ClusterFaults faults, Random random) {
        this.cluster = cluster;
        this.faults = faults;
        this.random = random;
    }

    void start() {
        faults.addRunners(RUNNERS);
        scheduleLoss();
        scheduleFault();
    }

    private Duration between(int minMs, int maxMs) {
        return Duration.ofMillis(minMs + random.nextInt(maxMs - minMs));
    }

    private void scheduleLoss() {
        cluster.loop().schedule(between(MIN_TIME_BETWEEN_LOSSES_MS, MAX_TIME_BETWEEN_LOSSES_MS), () -> {
            if (faults.active()) {
                loseConnections();
                scheduleLoss();
            }
        });
    }

    private void loseConnections() {
        List<SimulatedNode> nodes = random.nextBoolean() ? cluster.nodes() : List.of(faults.likelyLeader());
        int targets = random.nextInt(3);
        double share = 0.3 + 0.7 * random.nextDouble();
        for (SimulatedNode node : nodes) {
            if (node.process() == null) {
                continue;
            }
            if (targets != 0) {
                int idle = random.nextInt(MAX_SILENT_STORE_CONNECTIONS + 1);
                cluster.history().event("connections to the store go silent", node.name(), idle);
                node.storeLink().silenceOpenConnections(idle, cluster.loop().nowNanos());
            }
            if (targets != 1) {
                cluster.history().event("connections to runners go silent", node.name(), share);
                cluster.silenceRunnerConnections(node, share, random);
            }
        }
    }

    private void scheduleFault() {
        cluster.loop().schedule(between(MIN_TIME_BETWEEN_FAULTS_MS, MAX_TIME_BETWEEN_FAULTS_MS), () -> {
            if (faults.active()) {
                cluster.disturbed();
                injectFault();
                scheduleFault();
            }
        });
    }

    private void injectFault() {
        SimulatedNode node = faults.likelyLeader();
        switch (random.nextInt(3)) {
            case 0 -> {
                cluster.history().event("FAULT", "node-killed", node.name());
                node.kill();
                node.storeLink().closeConnections();
                faults.later(between(300, 5_000), node::start);
            }
            case 1 -> {
                cluster.history().event("FAULT", "node-stopped", node.name());
                faults.stop(node);
                faults.later(SimulatedNode.DRAIN_TIME, () -> node.storeLink().closeConnections());
            }
            default -> {
                cluster.history().event("FAULT", "store-loses-history");
                cluster.nodes().forEach(each -> each.storeLink().loseHistory());
            }
        }
    }
}
