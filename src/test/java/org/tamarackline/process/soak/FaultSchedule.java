package org.tamarackline.process.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.tamarackline.standin.fleet.StandinRunnerHost;

/**
 * Chooses faults at random, in bursts with pauses between them. The node that leads is hit most often, a few seconds
 * after it began to lead, and runners are lost for good at about the same time.
 */
final class FaultSchedule {

    private static final Duration PAUSE = Duration.ofSeconds(12);
    private static final Duration MIN_BURST = Duration.ofSeconds(10);
    private static final Duration MAX_BURST = Duration.ofSeconds(25);
    private static final Duration LEADER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int MIN_RUNNING_NODES = 2;

    /** Seeds that are a multiple of this have nodes too small to lead, which hand over to each larger node. */
    private static final int SMALL_NODES_SEED_STEP = 3;

    /** Percentage of the bursts in which connections go silent. */
    private static final int SILENCE_PERCENT = 60;

    private static final double MIN_SILENT_SHARE = 0.3;

    private static final double LARGE_CPU_SHARE = 0.75;
    private static final double SMALLEST_CPU_SHARE = 0.01;

    private final Random random;

    /** Makes the choices of silent connections; a source of their own keeps the other choices of a seed. */
    private final Random silenceRandom;

    private final List<NodeProcess> nodes;
    private final List<StandinRunnerHost> runners;
    private final NodeLogs logs;
    private final RunHistory history;
    private final FaultInjector injector;

    /** Number of nodes that are always started again; the others start only when a burst of handovers adds them. */
    private final int baseNodes;

    private final boolean smallNodes;
    private long burstEndNanos;

    FaultSchedule(
            long seed,
            List<NodeProcess> nodes,
            List<StandinRunnerHost> runners,
            NodeLogs logs,
            RunHistory history,
            FaultInjector injector) {
        this.random = new Random(seed);
        this.silenceRandom = new Random(~seed);
        this.nodes = nodes;
        this.runners = runners;
        this.logs = logs;
        this.history = history;
        this.injector = injector;
        this.smallNodes = seed % SMALL_NODES_SEED_STEP == 0;
        this.baseNodes = smallNodes ? Math.max(MIN_RUNNING_NODES + 1, nodes.size() / 2) : nodes.size();
    }

    /** Starts the nodes that are there from the beginning. */
    void startNodes() throws IOException {
        for (NodeProcess node : nodes.subList(0, baseNodes)) {
            node.start(cpuShare());
        }
    }

    private double cpuShare() {
        return smallNodes ? SMALLEST_CPU_SHARE : LARGE_CPU_SHARE;
    }

    /** Returns the time of the longest burst and its pause. */
    static Duration longestRound() {
        return MAX_BURST.plus(PAUSE);
    }

    /** Runs one burst of faults and the pause after it. */
    void runBurst(Duration maxDuration) throws IOException, InterruptedException {
        Duration burst = between(MIN_BURST, MAX_BURST);
        Duration limited = burst.compareTo(maxDuration.minus(PAUSE)) < 0 ? burst : maxDuration.minus(PAUSE);
        burstEndNanos = System.nanoTime() + limited.toNanos();
        repair();
        silenceConnections();
        int choice = random.nextInt(100);
        if (smallNodes && choice < 60) {
            replaceLeaderByLargerNodes();
        } else if (choice < 60) {
            replaceLeaderRepeatedly();
        } else {
            injectMixedFaults();
        }
        sleepUntilBurstEnd();
        Thread.sleep(PAUSE);
        injector.throwFailure();
    }

    /** Starts what the burst before left without a process, and ends the nodes that handovers have added. */
    private void repair() throws IOException, InterruptedException {
        for (NodeProcess added : nodes.subList(baseNodes, nodes.size())) {
            if (added.alive()) {
                injector.kill(added);
            }
        }
        for (NodeProcess node : nodes.subList(0, baseNodes)) {
            if (!injector.faulty(node.name())) {
                node.start(cpuShare());
            }
        }
        for (StandinRunnerHost runner : runners) {
            if (!injector.faulty(runner.id())) {
                injector.restartAfter(runner, between(Duration.ZERO, Duration.ofSeconds(2)));
            }
        }
        Thread.sleep(between(Duration.ofSeconds(3), Duration.ofSeconds(4)));
        awaitLeaderAfter(0);
    }

    /** Lets connections of the store or of one runner go silent at some moment of the shortest burst. */
    private void silenceConnections() {
        if (silenceRandom.nextInt(100) >= SILENCE_PERCENT) {
            return;
        }
        Duration delay = Duration.ofNanos((long) (silenceRandom.nextDouble() * MIN_BURST.toNanos()));
        double share = MIN_SILENT_SHARE + (1 - MIN_SILENT_SHARE) * silenceRandom.nextDouble();
        boolean ofStore = silenceRandom.nextBoolean();
        Random connectionRandom = new Random(silenceRandom.nextLong());
        if (ofStore) {
            injector.silenceStoreConnections(delay, share, connectionRandom);
        } else {
            injector.silenceRunnerConnections(delay, share, connectionRandom);
        }
    }

    /** Hits one leader after the other, with runners lost at about the time of the first hit. */
    private void replaceLeaderRepeatedly() throws IOException, InterruptedException {
        boolean runnersFirst = random.nextBoolean();
        if (runnersFirst) {
            endRunners();
            Thread.sleep(between(Duration.ZERO, Duration.ofMillis(1_500)));
        }
        long epoch = 0;
        boolean first = true;
        while (inBurst() && awaitLeaderAfter(epoch)) {
            epoch = logs.latestLeader().epoch();
            Thread.sleep(first ? Duration.ZERO : between(Duration.ofMillis(300), Duration.ofSeconds(5)));
            hitLeader();
            if (first && !runnersFirst) {
                Thread.sleep(between(Duration.ZERO, Duration.ofMillis(1_500)));
                endRunners();
            }
            first = false;
            if (random.nextInt(4) == 0) {
                return;
            }
        }
    }

    private void hitLeader() throws IOException, InterruptedException {
        hit(nodes.stream()
                .filter(node -> node.name().equals(logs.latestLeader().node()))
                .findFirst()
                .orElse(nodes.getFirst()));
    }

    private void hit(NodeProcess node) throws IOException, InterruptedException {
        if (!node.running() || runningNodes() <= MIN_RUNNING_NODES || injector.faulty(node.name())) {
            return;
        }
        int choice = random.nextInt(100);
        if (choice < 25) {
            injector.suspend(node, between(Duration.ofMillis(200), Duration.ofSeconds(6)));
            return;
        }
        if (choice < 40) {
            injector.terminate(node);
        } else {
            injector.kill(node);
        }
        if (random.nextBoolean()) {
            // A node that has got SIGTERM is started again only if it has ended by then.
            injector.restartAfter(node, between(Duration.ofMillis(200), Duration.ofSeconds(10)), cpuShare());
        }
    }

    private long runningNodes() {
        return nodes.stream()
                .filter(node -> node.running() && !injector.faulty(node.name()))
                .count();
    }

    /** Takes runners away for good, at about the same time; those with the most runs are preferred. */
    private void endRunners() throws InterruptedException {
        List<StandinRunnerHost> candidates = new ArrayList<>(reachableRunners());
        Collections.shuffle(candidates, random);
        if (random.nextInt(100) < 80) {
            Map<String, Integer> runs = history.activeRunsByRunner();
            candidates.sort(Comparator.comparingInt(runner -> -runs.getOrDefault(runner.id(), 0)));
        }
        int count = 1 + random.nextInt(Math.max(1, runners.size() / 3));
        for (StandinRunnerHost runner : candidates.subList(0, Math.min(count, candidates.size()))) {
            if (enoughRunners()) {
                injector.end(runner, random.nextInt(3) == 0);
                Thread.sleep(between(Duration.ZERO, Duration.ofMillis(200)));
            }
        }
    }

    private List<StandinRunnerHost> reachableRunners() {
        return runners.stream().filter(StandinRunnerHost::reachable).toList();
    }

    private boolean enoughRunners() {
        return reachableRunners().size() > (runners.size() + 1) / 2;
    }

    /** Lets a small leader lose runners and its life; then each larger node that starts gets the lead without a fault. */
    private void replaceLeaderByLargerNodes() throws IOException, InterruptedException {
        endRunners();
        Thread.sleep(between(Duration.ZERO, Duration.ofMillis(1_500)));
        for (NodeProcess node : nodes) {
            if (node.name().equals(logs.latestLeader().node()) && node.running()) {
                injector.kill(node);
            }
        }
        double share = SMALLEST_CPU_SHARE;
        for (NodeProcess added : nodes.subList(baseNodes, nodes.size())) {
            Thread.sleep(between(Duration.ofMillis(800), Duration.ofSeconds(3)));
            share *= 2;
            added.start(share);
        }
    }

    private void injectMixedFaults() throws IOException, InterruptedException {
        while (inBurst()) {
            injectOne();
            Thread.sleep(between(Duration.ofMillis(200), Duration.ofMillis(2_500)));
        }
    }

    private void injectOne() throws IOException, InterruptedException {
        int choice = random.nextInt(100);
        if (choice < 35) {
            hitLeader();
        } else if (choice < 50) {
            hit(nodes.get(random.nextInt(baseNodes)));
        } else if (choice < 60) {
            endRunners();
        } else if (choice < 75) {
            endAndRestartRunner();
        } else if (choice < 88) {
            disconnectRunner();
        } else if (!injector.storeFaulty()) {
            injectStoreFault();
        }
    }

    private void endAndRestartRunner() {
        List<StandinRunnerHost> candidates = reachableRunners();
        if (enoughRunners()) {
            StandinRunnerHost runner = candidates.get(random.nextInt(candidates.size()));
            injector.end(runner, random.nextInt(3) == 0);
            injector.restartAfter(runner, between(Duration.ofMillis(500), Duration.ofSeconds(8)));
        }
    }

    private void disconnectRunner() {
        List<StandinRunnerHost> candidates = reachableRunners();
        if (enoughRunners()) {
            StandinRunnerHost runner = candidates.get(random.nextInt(candidates.size()));
            injector.disconnect(runner, between(Duration.ofMillis(500), Duration.ofSeconds(9)));
        }
    }

    private void injectStoreFault() {
        Duration time = between(Duration.ofMillis(500), Duration.ofSeconds(4));
        if (random.nextBoolean()) {
            injector.refuseStoreCalls(time);
        } else {
            injector.slowStore(between(Duration.ofMillis(100), Duration.ofMillis(600)), time);
        }
    }

    /** Waits until a leader of a later epoch has begun to lead; returns whether there is one. */
    private boolean awaitLeaderAfter(long epoch) throws InterruptedException {
        long endNanos = System.nanoTime() + LEADER_TIMEOUT.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            if (logs.latestLeader().epoch() > epoch) {
                return true;
            }
            Thread.sleep(POLL_INTERVAL);
        }
        return false;
    }

    private boolean inBurst() {
        return System.nanoTime() - burstEndNanos < 0;
    }

    private void sleepUntilBurstEnd() throws InterruptedException {
        Thread.sleep(Duration.ofNanos(Math.max(0, burstEndNanos - System.nanoTime())));
    }

    private Duration between(Duration min, Duration max) {
        return min.plusNanos((long) (random.nextDouble() * (max.toNanos() - min.toNanos())));
    }
}
