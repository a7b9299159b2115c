package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs random sequences of faults in {@link ClusterSimulation} and checks what the runners saw.
 *
 * <p>{@link #main} runs any number of seeds and prints those that fail, or the trace of one seed.
 */
class ClusterSequencesTest {

    /** Guards against tasks that run twice, too early or not at all. */
    @Property(tries = 40, seed = "4711", shrinking = ShrinkingMode.OFF)
    void keepsItsRulesUnderFaults(@ForAll long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed, ClusterSimulation.Defect.NONE, false);
        simulation.run();
        assertThat(simulation.history().violations()).isEmpty();
    }

    /** Runs seeds. Arguments: first seed and number of seeds, or {@code trace} and one seed. */
    public static void main(String[] arguments) {
        if (arguments[0].equals("trace")) {
            printTrace(Long.parseLong(arguments[1]));
            return;
        }
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        ClusterSimulation.Defect defect =
                arguments.length > 2 ? ClusterSimulation.Defect.valueOf(arguments[2]) : ClusterSimulation.Defect.NONE;
        runSeeds(first, count, defect);
    }

    private static void runSeeds(long first, long count, ClusterSimulation.Defect defect) {
        Map<RunHistory.Rule, List<Long>> failures = new TreeMap<>();
        long starts = 0;
        long slowestMs = 0;
        long digest = 0;
        for (long seed : LongStream.range(first, first + count).toArray()) {
            ClusterSimulation simulation = new ClusterSimulation(seed, defect, false);
            simulation.run();
            starts += simulation.history().startCount();
            slowestMs = Math.max(slowestMs, simulation.recoveryMs());
            digest = 31 * digest + simulation.history().digest();
            List<RunHistory.Violation> violations = simulation.history().violations();
            if (!violations.isEmpty()) {
                System.out.println("seed " + seed + ": " + violations.size() + ", first " + violations.getFirst());
            }
            violations.stream()
                    .map(RunHistory.Violation::rule)
                    .distinct()
                    .forEach(rule -> failures.computeIfAbsent(rule, key -> new ArrayList<>())
                            .add(seed));
        }
        failures.forEach((rule, seeds) -> System.out.println(rule + " in " + seeds.size() + " seeds: "
                + seeds.stream().limit(20).map(String::valueOf).collect(Collectors.joining(" "))));
        System.out.println(count + " seeds from " + first + ", " + starts + " starts, slowest recovery " + slowestMs
                + " ms, digest " + digest);
    }

    private static void printTrace(long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed, ClusterSimulation.Defect.NONE, true);
        simulation.run();
        simulation.history().trace().forEach(System.out::println);
        System.out.println(simulation.decisionLogs());
        simulation.history().violations().forEach(System.out::println);
    }
}
