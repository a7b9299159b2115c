package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against leaders that lack the capacity for their fleet and hand over one after the other, while nobody sends
 * stops or starts.
 */
class UnequalNodesTest {

    private static final int SEEDS = 30;
    private static final int STRONG_NODES = 3;
    private static final int WEAK_NODES = 10;

    /** Cannot lead the fleet, which has one runner. */
    private static final NodeCapacity WEAK = new NodeCapacity(60, 330, 4_100);

    private static final NodeCapacity STRONG = new NodeCapacity(1_500, 682, 8_192);

    /** The epoch of the sound leader, that of its successor, and that of one handover. */
    private static final long MAX_EPOCH = 3;

    /** The task of a cancelled job may run for 4.2 s after the cancellation, 0.2 s of which are the runner's. */
    private static final Duration MAX_TIME_WITHOUT_LEADER = Duration.ofSeconds(4);

    /** Time in which some nodes restart. */
    private static final Duration RESTARTS = Duration.ofSeconds(4);

    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration OBSERVED = Duration.ofSeconds(20);

    /** What happens to the sound leader. */
    enum Fault {
        KILLED,
        RESIGNS,
        /** Pings to it do not arrive until it has been replaced. */
        SILENT,
        /** Pings of weak nodes to it do not arrive until it has been replaced. */
        SILENT_FOR_WEAK_NODES,
        /** It is killed, and a third of the weak nodes restart in the 4 s after that. */
        KILLED_BEFORE_RESTARTS,
        /** It is killed after a third of the weak nodes and all other strong ones have restarted in 4 s. */
        KILLED_AFTER_RESTARTS,
        /** It resigns after the same restarts. */
        RESIGNS_AFTER_RESTARTS,
        /** All strong nodes are killed, of which it is one. */
        ALL_STRONG_NODES_KILLED
    }

    /** One sequence of events. */
    private static final class Sequence {

        private final ElectionCluster cluster = new ElectionCluster();
        private final Random random;
        private final List<ElectionCluster.Node> weak = new ArrayList<>();
        private final List<ElectionCluster.Node> strong = new ArrayList<>();
        private ElectionCluster.Node leader;
        private long faultNanos;
        private Duration longestWithoutLeader = Duration.ZERO;

        Sequence(long seed) {
            random = new Random(seed);
        }

        void run(Fault fault) {
            startNodes();
            cluster.loop().advance(Duration.ofMillis(5_000 + random.nextInt(2_000)));
            assertThat(leader.leads()).isTrue();
            cluster.store().setLatency(Duration.ofMillis(10 + random.nextInt(90)));
            apply(fault);
            faultNanos = cluster.loop().nowNanos();
            observe();
        }

        private void startNodes() {
            leader = cluster.start("strong-0", STRONG);
            cluster.loop().advance(Duration.ofSeconds(1));
            List<String> names = new ArrayList<>();
            for (int i = 1; i < STRONG_NODES; i++) {
                names.add("strong-" + i);
            }
            for (int i = 0; i < WEAK_NODES; i++) {
                names.add("weak-" + i);
            }
            Collections.shuffle(names, random);
            for (String name : names) {
                start(name);
                cluster.loop().advance(Duration.ofMillis(random.nextInt(300)));
            }
        }

        private void start(String name) {
            if (name.startsWith("weak")) {
                weak.add(cluster.start(name, WEAK));
            } else {
                strong.add(cluster.start(name, STRONG));
            }
        }

        private void apply(Fault fault) {
            switch (fault) {
                case KILLED -> cluster.kill(leader);
                case RESIGNS -> leader.election().resign(() -> {});
                case SILENT -> {
                    silence(weak);
                    silence(strong);
                }
                case SILENT_FOR_WEAK_NODES -> silence(weak);
                case KILLED_BEFORE_RESTARTS -> {
                    cluster.kill(leader);
                    restart(weak.subList(0, WEAK_NODES / 3));
                }
                case KILLED_AFTER_RESTARTS -> {
                    restartNodes();
                    cluster.kill(leader);
                }
                case RESIGNS_AFTER_RESTARTS -> {
                    restartNodes();
                    leader.election().resign(() -> {});
                }
                case ALL_STRONG_NODES_KILLED -> {
                    cluster.kill(leader);
                    strong.forEach(cluster::kill);
                }
                default -> throw new AssertionError(fault);
            }
        }

        private void silence(List<ElectionCluster.Node> nodes) {
            nodes.forEach(node -> cluster.network().silence(node.loop(), leader.address()));
        }

        private void restartNodes() {
            restart(weak.subList(0, WEAK_NODES / 3));
            restart(strong);
            cluster.loop().advance(RESTARTS);
        }

        private void restart(List<ElectionCluster.Node> nodes) {
            for (ElectionCluster.Node node : List.copyOf(nodes)) {
                Duration down = Duration.ofMillis(200 + random.nextInt(1_000));
                int latestMs = (int) RESTARTS.minus(down).toMillis();
                cluster.loop().schedule(Duration.ofMillis(random.nextInt(latestMs)), () -> {
                    cluster.kill(node);
                    cluster.loop().schedule(down, () -> start(node.name()));
                });
            }
        }

        private void observe() {
            Duration without = Duration.ZERO;
            for (Duration at = Duration.ZERO; at.compareTo(OBSERVED) < 0; at = at.plus(STEP)) {
                cluster.loop().advance(STEP);
                if (cluster.storedLeader().epoch() > 1) {
                    cluster.network().endSilence();
                }
                without = cluster.leading().stream().anyMatch(ElectionCluster.Node::schedules)
                        ? Duration.ZERO
                        : without.plus(STEP);
                longestWithoutLeader = without.compareTo(longestWithoutLeader) > 0 ? without : longestWithoutLeader;
            }
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ALL_STRONG_NODES_KILLED")
    void atMostOneHandoverFollowsAReplacement(Fault fault) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            Sequence sequence = new Sequence(seed);
            sequence.run(fault);
            long epoch = sequence.cluster.storedLeader().epoch();
            if (epoch > MAX_EPOCH || sequence.longestWithoutLeader.compareTo(MAX_TIME_WITHOUT_LEADER) > 0) {
                violations.add("seed %d: epoch %d, %d ms without a leader"
                        .formatted(seed, epoch, sequence.longestWithoutLeader.toMillis()));
            }
        }
        assertThat(violations).isEmpty();
    }

    /** Guards against weak nodes that wait for strong ones which have ended, until the leases of all runners expire. */
    @Test
    void weakNodeSucceedsBeforeLeasesExpire() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Sequence sequence = new Sequence(seed);
            sequence.run(Fault.ALL_STRONG_NODES_KILLED);
            assertThat(sequence.cluster.storedLeader().epoch())
                    .as("seed %d", seed)
                    .isEqualTo(2);
            assertThat(sequence.cluster.runner().longestRenewalInterval(sequence.faultNanos))
                    .as("seed %d", seed)
                    .isLessThan(FleetConstants.RUNNER_LEASE);
        }
    }
}
