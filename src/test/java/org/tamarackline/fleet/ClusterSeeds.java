package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Runs seeds of {@link ClusterSimulation} by hand and prints those that break a rule, or the events of one seed.
 *
 * <p>After {@code build-tools/mvn -o package -DskipTests}, for the seeds 0 to 4,999, and for the events of seed 9:
 *
 * <pre>
 * java -cp target/test-classes:target/tamarackline-0.1.0-all.jar org.tamarackline.fleet.ClusterSeeds 0 5000
 * java -cp target/test-classes:target/tamarackline-0.1.0-all.jar org.tamarackline.fleet.ClusterSeeds trace 9
 * </pre>
 *
 * <p>A third argument names a {@link ClusterFaults.Profile}, a fourth one of the first form a {@link
 * ClusterSimulation.Defect}.
 */
final class ClusterSeeds {

    private static final int MAX_PRINTED_SEEDS = 20;

    private final ClusterFaults.Profile profile;
    private final ClusterSimulation.Defect defect;
    private final Map<RunHistory.Rule, List<Long>> seedsByRule = new TreeMap<>();
    private long seeds;
    private long starts;
    private long slowestRecoveryMs;
    private long digest;

    private ClusterSeeds(ClusterFaults.Profile profile, ClusterSimulation.Defect defect) {
        this.profile = profile;
        this.defect = defect;
    }

    /** Runs the seeds that the arguments name. */
    public static void main(String[] arguments) {
        ClusterFaults.Profile profile =
                arguments.length > 2 ? ClusterFaults.Profile.valueOf(arguments[2]) : ClusterFaults.Profile.ALL_KINDS;
        if (arguments[0].equals("trace")) {
            printTrace(Long.parseLong(arguments[1]), profile);
            return;
        }
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        ClusterSimulation.Defect defect =
                arguments.length > 3 ? ClusterSimulation.Defect.valueOf(arguments[3]) : ClusterSimulation.Defect.NONE;
        ClusterSeeds run = new ClusterSeeds(profile, defect);
        for (long seed = first; seed < first + count; seed++) {
            run.runSeed(seed);
        }
        run.printSummary();
    }

    private void runSeed(long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed, defect, profile, false);
        simulation.run();
        seeds++;
        starts += simulation.history().startCount();
        slowestRecoveryMs = Math.max(slowestRecoveryMs, simulation.recoveryMs());
        digest = 31 * digest + simulation.history().digest();
        List<RunHistory.Violation> violations = simulation.history().violations();
        if (!violations.isEmpty()) {
            System.out.println("seed " + seed + ": " + violations.size() + ", first " + violations.getFirst());
        }
        violations.stream()
                .map(RunHistory.Violation::rule)
                .distinct()
                .forEach(rule -> seedsByRule
                        .computeIfAbsent(rule, key -> new ArrayList<>())
                        .add(seed));
    }

    private void printSummary() {
        seedsByRule.forEach((rule, found) -> System.out.println(rule + " in " + found.size() + " seeds: "
                + found.stream().limit(MAX_PRINTED_SEEDS).map(String::valueOf).collect(Collectors.joining(" "))));
        System.out.println(seeds + " seeds, " + starts + " starts, slowest recovery " + slowestRecoveryMs
                + " ms, digest " + digest);
    }

    private static void printTrace(long seed, ClusterFaults.Profile profile) {
        ClusterSimulation simulation = new ClusterSimulation(seed, ClusterSimulation.Defect.NONE, profile, true);
        simulation.run();
        simulation.history().trace().forEach(System.out::println);
        System.out.println(simulation.decisionLogs());
        simulation.history().violations().forEach(System.out::println);
    }
}
