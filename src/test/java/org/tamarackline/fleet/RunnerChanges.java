package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Random;

/**
 * Restarts the runners of a {@link ClusterSimulation} as other kinds, and ends its leaders now and then.
 *
 * <p>Many jobs are cancelled meanwhile, so that most leaders find runs of jobs that have ended.
 */
final class RunnerChanges {

    private static final int RUNNERS = 9;
    private static final int MIN_TIME_BETWEEN_RESTARTS_MS = 500;
    private static final int MAX_TIME_BETWEEN_RESTARTS_MS = 4_000;
    private static final int MIN_TIME_BETWEEN_LEADERS_MS = 5_000;
    private static final int MAX_TIME_BETWEEN_LEADERS_MS = 12_000;

    private final ClusterSimulation cluster;
    private final ClusterFaults faults;
    private final Random random;

    RunnerChanges(ClusterSimulation cluster, ClusterFaults faults, Random random) {
        this.cluster = cluster;
        this.faults = faults;
        this.random = random;
    }

    void start() {
        faults.addRunners(RUNNERS);
        scheduleRestart();
        scheduleLeaderChange();
    }

    private Duration between(int minMs, int maxMs) {
        return Duration.ofMillis(minMs + random.nextInt(maxMs - minMs));
    }

    private void scheduleRestart() {
        faults.later(between(MIN_TIME_BETWEEN_RESTARTS_MS, MAX_TIME_BETWEEN_RESTARTS_MS), () -> {
            if (faults.active()) {
                restartAnyRunner();
                scheduleRestart();
            }
        });
    }

    private void restartAnyRunner() {
        List<ProtocolRunner> up =
                cluster.runners().stream().filter(ProtocolRunner::up).distinct().toList();
        if (!up.isEmpty()) {
            ProtocolRunner runner = up.get(random.nextInt(up.size()));
            cluster.history().event("FAULT", "runner-restarts-as-other-kind", runner.id());
            cluster.restartRunnerAsOtherKind(runner, between(500, 2_500), random);
        }
    }

    private void scheduleLeaderChange() {
        faults.later(between(MIN_TIME_BETWEEN_LEADERS_MS, MAX_TIME_BETWEEN_LEADERS_MS), () -> {
            if (faults.active()) {
                endLeader(faults.likelyLeader());
                scheduleLeaderChange();
            }
        });
    }

    private void endLeader(SimulatedNode node) {
        switch (random.nextInt(3)) {
            case 0 -> {
                cluster.history().event("FAULT", "node-killed", node.name());
                node.kill();
                faults.later(between(300, 3_000), node::start);
            }
            case 1 -> {
                cluster.history().event("FAULT", "node-stopped", node.name());
                faults.stop(node);
            }
            default -> {
                cluster.history().event("FAULT", "node-suspended", node.name());
                faults.suspend(node, between(500, 6_000));
            }
        }
    }
}
