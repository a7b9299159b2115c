package org.tamarackline.entry.cluster;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against double ownership, lost fencing and reverted configurations under arbitrary sequences of faults. */
class ClusterSafetyTest {

    private static final int BITE_SEQUENCES = 500;
    private static final int SETTLE_STEPS = 80;
    private static final int RECOVERY_STEPS = 400;

    /**
     * A cluster and what happens to it.
     *
     * @param nodes number of nodes
     * @param seed seed of the moments at which delayed messages arrive
     * @param actions what happens
     */
    record Sequence(int nodes, long seed, List<Action> actions) {}

    @Provide
    Arbitrary<Sequence> sequences() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, 4),
                        Arbitraries.longs(),
                        Action.any().list().ofMinSize(1).ofMaxSize(25))
                .as(Sequence::new);
    }

    @Property(seed = "20261204", tries = 1500)
    void noShardHasTwoOwnersThatMayAct(@ForAll("sequences") Sequence sequence) {
        assertThat(run(sequence, Mutation.NONE).violations()).doesNotContain("two owners");
    }

    @Property(seed = "20261205", tries = 500)
    void epochsNeverGoBack(@ForAll("sequences") Sequence sequence) {
        assertThat(run(sequence, Mutation.NONE).violations()).doesNotContain("epoch went back");
    }

    @Property(seed = "20261206", tries = 500)
    void installedVersionsNeverGoBack(@ForAll("sequences") Sequence sequence) {
        assertThat(run(sequence, Mutation.NONE).violations()).doesNotContain("version went back");
    }

    @Property(seed = "20261207", tries = 500)
    void acceptedVersionReachesConnectedNodesInTime(@ForAll("sequences") Sequence sequence) {
        assertThat(run(sequence, Mutation.NONE).violations()).doesNotContain("version late");
    }

    @Property(seed = "20261208", tries = 500)
    void everyShardHasAnOwnerAgainAfterTheFaults(@ForAll("sequences") Sequence sequence) {
        SimulatedCluster cluster = run(sequence, Mutation.NONE);
        cluster.heal();
        cluster.restart(0);
        cluster.run(RECOVERY_STEPS);
        assertThat(cluster.unowned()).isEmpty();
        assertThat(cluster.violations()).isEmpty();
    }

    @Example
    void propertiesNoticeMutations() {
        assertThat(violationsOf(Mutation.TAKE_TIME_BELOW_HOLD_TIME)).contains("two owners");
        assertThat(violationsOf(Mutation.CHECKS_IGNORED)).contains("epoch went back");
        assertThat(violationsOf(Mutation.ANY_VERSION_INSTALLED)).contains("version went back");
        assertThat(violationsOf(Mutation.NO_POLLS_AND_PUSHES)).contains("version late");
    }

    private Set<String> violationsOf(Mutation mutation) {
        Set<String> found = new HashSet<>();
        sequences().generator(1000).stream(new Random(20261204))
                .limit(BITE_SEQUENCES)
                .forEach(
                        sequence -> found.addAll(run(sequence.value(), mutation).violations()));
        return found;
    }

    private static SimulatedCluster run(Sequence sequence, Mutation mutation) {
        SimulatedCluster cluster =
                new SimulatedCluster(sequence.nodes(), Math.min(2, sequence.nodes()), mutation, sequence.seed());
        cluster.run(SETTLE_STEPS);
        sequence.actions().forEach(action -> action.applyTo(cluster));
        return cluster;
    }
}
