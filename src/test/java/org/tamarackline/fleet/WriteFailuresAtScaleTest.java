package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against leaders that replace each other one after the other once the store has answered no transactions. */
class WriteFailuresAtScaleTest {

    private static final int SEEDS = 8;
    private static final double[] SHARES = {0.6, 0.95, 1};
    private static final int STRONG_NODES = 4;
    private static final int WEAK_NODES = 14;

    /** Cannot lead the fleet, which has one runner. */
    private static final NodeCapacity WEAK = new NodeCapacity(60, 330, 4_100);

    private static final NodeCapacity STRONG = new NodeCapacity(1_500, 682, 8_192);

    /** The epoch of the sound leader, that of its successor, and that of one handover. */
    private static final long MAX_EPOCH = 3;

    /** The same, and once more for a successor of a leader that is killed. */
    private static final long MAX_EPOCH_AFTER_KILL = 5;

    /** Time for which transactions fail. */
    private static final Duration FAILURE = Duration.ofSeconds(9);

    /** Time after a fault from which on the bounds hold. */
    private static final Duration RECOVERY = Duration.ofSeconds(4);

    private static final Duration RESTART_TIME = Duration.ofSeconds(3);
    private static final Duration MAX_TIME_WITHOUT_LEADER = Duration.ofSeconds(4);
    private static final Duration OBSERVED = Duration.ofSeconds(20);
    private static final Duration STEP = Duration.ofMillis(10);

    /** Nodes whose transactions fail. */
    private enum Affected {
        ALL,
        LEADER_AND_A_THIRD
    }

    /**
     * Which transactions fail, and how.
     *
     * @param affected nodes whose transactions fail
     * @param writes what becomes of them
     * @param share fraction of their transactions that fail
     * @param killsLeader whether the leader is killed when the failures end
     */
    private record Failures(Affected affected, NodeStore.Writes writes, double share, boolean killsLeader) {}

    /** One sequence of events. */
    private static final class Sequence {

        private final ElectionCluster cluster = new ElectionCluster();
        private final Random random;
        private final List<ElectionCluster.Node> nodes = new ArrayList<>();
        private Duration longestWithoutLeader = Duration.ZERO;

        Sequence(long seed) {
            random = new Random(seed);
        }

        void run(Failures failures) {
            startNodes();
            List<ElectionCluster.Node> failing = failingNodes(failures.affected());
            failing.forEach(
                    node -> node.store().setWrites(failures.writes(), () -> random.nextDouble() < failures.share()));
            cluster.loop().advance(FAILURE);
            if (failures.killsLeader()) {
                killLeader();
            }
            failing.forEach(node -> node.store().setWrites(NodeStore.Writes.ANSWERED));
            cluster.loop().advance(RECOVERY);
            observe();
        }

        private void startNodes() {
            for (int i = 0; i < STRONG_NODES + WEAK_NODES; i++) {
                nodes.add(cluster.start("node-" + i, i < STRONG_NODES ? STRONG : WEAK));
                cluster.loop().advance(Duration.ofMillis(random.nextInt(200)));
            }
            cluster.loop().advance(Duration.ofSeconds(5));
        }

        private List<ElectionCluster.Node> failingNodes(Affected affected) {
            ElectionCluster.Node leader = cluster.leading().getFirst();
            return nodes.stream()
                    .filter(node -> affected == Affected.ALL || node.equals(leader) || random.nextInt(3) == 0)
                    .toList();
        }

        private void killLeader() {
            for (ElectionCluster.Node leader : cluster.leading()) {
                cluster.kill(leader);
                cluster.loop().schedule(RESTART_TIME, () -> cluster.start(leader.name(), STRONG));
            }
        }

        private void observe() {
            Duration without = Duration.ZERO;
            for (Duration at = Duration.ZERO; at.compareTo(OBSERVED) < 0; at = at.plus(STEP)) {
                cluster.loop().advance(STEP);
                without = cluster.leading().stream().anyMatch(ElectionCluster.Node::schedules)
                        ? Duration.ZERO
                        : without.plus(STEP);
                longestWithoutLeader = without.compareTo(longestWithoutLeader) > 0 ? without : longestWithoutLeader;
            }
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ANSWERED")
    void atMostOneHandoverFollowsAReplacement(NodeStore.Writes writes) {
        List<String> violations = new ArrayList<>();
        for (Affected affected : Affected.values()) {
            for (double share : SHARES) {
                for (long seed = 0; seed < SEEDS; seed++) {
                    boolean nobodyWrites = affected == Affected.ALL && share == 1;
                    long maxEpoch = nobodyWrites ? 1 : MAX_EPOCH;
                    check(new Failures(affected, writes, share, false), seed, maxEpoch, violations);
                    check(new Failures(affected, writes, share, true), seed, MAX_EPOCH_AFTER_KILL, violations);
                }
            }
        }
        assertThat(violations).isEmpty();
    }

    private static void check(Failures failures, long seed, long maxEpoch, List<String> violations) {
        Sequence sequence = new Sequence(seed);
        sequence.run(failures);
        long epoch = sequence.cluster.storedLeader().epoch();
        if (epoch > maxEpoch || sequence.longestWithoutLeader.compareTo(MAX_TIME_WITHOUT_LEADER) > 0) {
            violations.add("%s, seed %d: epoch %d, %d ms without a leader"
                    .formatted(failures, seed, epoch, sequence.longestWithoutLeader.toMillis()));
        }
    }
}
