package org.tamarackline.spec;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs the TLC model checker on a specification in {@code spec/}, in a new process because TLC keeps static state. */
final class ModelChecker {

    private static final Path SPEC_DIRECTORY = Path.of("spec");
    private static final long TIMEOUT_SECONDS = 170;
    private static final String TLC_WORKERS = "4";
    private static final Pattern STATE_COUNTS =
            Pattern.compile("(\\d+) states generated, (\\d+) distinct states found");

    private final Path workDirectory;

    ModelChecker(Path workDirectory) {
        this.workDirectory = workDirectory;
    }

    /** Result of checking the properties of a specification. */
    enum Verdict {
        /** Every reachable state satisfies the properties. */
        HOLDS,
        /** A reachable state or step violates a property. */
        VIOLATED,
        /** TLC failed or ran out of time. */
        FAILED
    }

    /**
     * Result of a run of TLC.
     *
     * @param verdict whether the properties hold
     * @param output standard output and standard error of TLC
     */
    record CheckResult(Verdict verdict, String output) {}

    /** Checks a specification after replacing constants in its configuration file. */
    CheckResult check(String specification, Map<String, String> replacedConstants)
            throws IOException, InterruptedException {
        Path config = writeConfig(specification, replacedConstants);
        Path log = workDirectory.resolve("tlc.log");
        Process process = new ProcessBuilder(command(specification, config))
                .directory(SPEC_DIRECTORY.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        boolean ended = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (!ended) {
            process.destroyForcibly().waitFor();
        }
        String output = Files.readString(log);
        Verdict verdict = ended ? verdict(process.exitValue()) : Verdict.FAILED;
        System.out.printf("TLC %s %s: %s, %s%n", specification, replacedConstants, verdict, lastStateCounts(output));
        return new CheckResult(verdict, output);
    }

    private List<String> command(String specification, Path config) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseParallelGC",
                "-Xmx1500m",
                "-cp",
                System.getProperty("java.class.path"),
                "tlc2.TLC",
                "-workers",
                TLC_WORKERS,
                "-deadlock",
                "-metadir",
                workDirectory.resolve("states").toString(),
                "-config",
                config.toString(),
                specification + ".tla");
    }

    private Path writeConfig(String specification, Map<String, String> replacedConstants) throws IOException {
        String text = Files.readString(SPEC_DIRECTORY.resolve(specification + ".cfg"));
        for (Map.Entry<String, String> constant : replacedConstants.entrySet()) {
            String replaced = text.replaceFirst(
                    "(?m)^(\\s*" + constant.getKey() + " = ).*$", "$1" + Matcher.quoteReplacement(constant.getValue()));
            if (replaced.equals(text)) {
                throw new IllegalArgumentException("%s.cfg has no constant %s, or it already has the new value"
                        .formatted(specification, constant.getKey()));
            }
            text = replaced;
        }
        Path config = workDirectory.resolve(specification + ".cfg").toAbsolutePath();
        return Files.writeString(config, text);
    }

    /** Maps TLC's exit code: 12 is a violated invariant, 13 a violated action property. */
    private static Verdict verdict(int exitCode) {
        return switch (exitCode) {
            case 0 -> Verdict.HOLDS;
            case 12, 13 -> Verdict.VIOLATED;
            default -> Verdict.FAILED;
        };
    }

    private static String lastStateCounts(String output) {
        Matcher matcher = STATE_COUNTS.matcher(output);
        String last = "no state count";
        while (matcher.find()) {
            last = matcher.group();
        }
        return last;
    }
}
