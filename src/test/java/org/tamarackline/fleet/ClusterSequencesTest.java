package org.tamarackline.fleet;

import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs random sequences of faults in {@link ClusterSimulation}; {@link ClusterSeeds} runs further seeds by hand. */
class ClusterSequencesTest {

    private static final int SEEDS_PER_DEFECT = 30;

    /** Guards against tasks that run twice, too early or not at all. */
    @Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.OFF)
    void keepsItsRulesUnderFaults(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed, ClusterSimulation.Defect.NONE, false);
        simulation.run();
        assertThat(simulation.history().violations()).isEmpty();
    }

    /**
     * Guards against a leader that is replaced because the store answers nobody, and against a successor that lets the
     * leases of runners expire.
     */
    @Property(tries = 60, seed = "4711", shrinking = ShrinkingMode.OFF)
    void bridgesOutagesOfTheStore(@ForAll long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.STORE_OUTAGES, false);
        simulation.run();
        assertThat(simulation.history().violations()).isEmpty();
    }

    /** Guards against failures that cannot be reproduced. */
    @Property(tries = 2, seed = "4711", shrinking = ShrinkingMode.OFF)
    void sameSeedGivesTheSameEvents(@ForAll long seed) {
        assertThat(digest(seed)).isEqualTo(digest(seed));
    }

    /** Checks that the simulation detects a mechanism that does not work. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsADefectOfTheEnvironment(ClusterSimulation.Defect defect) {
        assertThat(LongStream.range(0, SEEDS_PER_DEFECT))
                .anyMatch(seed -> breaksARule(seed, defect) && !breaksARule(seed, ClusterSimulation.Defect.NONE));
    }

    private static boolean breaksARule(long seed, ClusterSimulation.Defect defect) {
        ClusterSimulation simulation = new ClusterSimulation(seed, defect, false);
        simulation.run();
        return !simulation.history().violations().isEmpty();
    }

    private static long digest(long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed, ClusterSimulation.Defect.NONE, false);
        simulation.run();
        return simulation.history().digest();
    }
}
