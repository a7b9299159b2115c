package org.tamarackline.process.soak;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Runs soaks with consecutive seeds, one after the other. Arguments: first seed, number of seeds, seconds of each, nodes,
 * runners, busy processes.
 */
public final class SoakMain {

    private static final int ARGUMENTS = 6;

    private SoakMain() {}

    /** Prints each report and exits with status 1 if a rule was broken. */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length != ARGUMENTS) {
            System.err.println("arguments: first-seed count seconds nodes runners busy-processes");
            System.exit(2);
        }
        long firstSeed = Long.parseLong(arguments[0]);
        int failed = 0;
        for (long seed = firstSeed; seed < firstSeed + Long.parseLong(arguments[1]); seed++) {
            SoakReport report = FleetSoak.run(new SoakSettings(
                    seed,
                    Duration.ofSeconds(Long.parseLong(arguments[2])),
                    Integer.parseInt(arguments[3]),
                    Integer.parseInt(arguments[4]),
                    Integer.parseInt(arguments[5]),
                    Path.of("target", "soak", Long.toString(seed))));
            System.out.printf(
                    "seed %d: %d violations%n", seed, report.violations().size());
            report.summary().forEach(line -> System.out.println("  " + line));
            report.violations()
                    .forEach(violation -> System.out.println(
                            "  " + violation.lines().findFirst().orElse("")));
            failed += report.violations().isEmpty() ? 0 : 1;
        }
        System.exit(failed == 0 ? 0 : 1);
    }
}
