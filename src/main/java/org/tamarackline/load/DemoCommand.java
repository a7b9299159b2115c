package org.tamarackline.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import ch.qos.logback.classic.Level;
import io.dropwizard.logging.common.BootstrapLogging;
import org.kohsuke.args4j.Option;
import org.tamarackline.cli.Command;
import org.tamarackline.cli.ExitCodes;

/** Runs {@link DemoScenario} on a local cluster with stand-ins and prints whether anything was lost or run twice. */
public final class DemoCommand implements Command {

    private static final int RUNNERS = 6;
    private static final int ENTRY_NODES = 3;

    @Option(
            name = "--binary",
            metaVar = "FILE",
            usage = "binary from which the processes are started; default: the running one")
    private Path binary;

    @Option(name = "--keep-logs", usage = "keep the directory with settings and logs")
    private boolean keepLogs;

    @Override
    public int run() throws Exception {
        BootstrapLogging.bootstrap(Level.WARN);
        long startNanos = System.nanoTime();
        Path executable = binary == null ? BinaryLocator.current() : binary.toAbsolutePath();
        Path directory = Files.createTempDirectory("tamarackline-demo");
        if (keepLogs) {
            System.out.println("settings and logs are kept in " + directory);
        }
        try {
            DemoResult result = runDemo(executable, directory);
            DemoTable.print(System.out, result, Duration.ofNanos(System.nanoTime() - startNanos));
            return result.isCorrect() ? ExitCodes.SUCCESS : ExitCodes.FAILURE;
        } finally {
            cleanUp(directory);
        }
    }

    private DemoResult runDemo(Path executable, Path directory) throws IOException, InterruptedException {
        PrintStream out = System.out;
        LocalClusterPlan plan = new LocalClusterPlan(
                executable,
                directory,
                DemoScenario.SERVICE,
                DemoScenario.WORKERS,
                DemoScenario.WORKER_PROCESSORS,
                RUNNERS,
                ENTRY_NODES,
                LocalCluster.shortDrainSettings());
        try (LocalCluster cluster = LocalCluster.prepare(plan)) {
            Thread endOnSignal = new Thread(() -> killAndCleanUp(cluster, directory), "end-on-signal");
            Runtime.getRuntime().addShutdownHook(endOnSignal);
            out.printf(
                    "starting a platform, %d workers, %d runners and %d entry nodes%n",
                    plan.workers(), plan.runners(), plan.entryNodes());
            cluster.start();
            out.println("all entry nodes are ready");
            return new DemoScenario(cluster, out).run();
        }
    }

    /** Runs as a shutdown hook, so that neither processes nor credentials remain after a signal. */
    private void killAndCleanUp(LocalCluster cluster, Path directory) {
        cluster.killAll();
        try {
            cleanUp(directory);
        } catch (IOException failure) {
            System.err.println("could not delete the directory %s".formatted(directory));
        }
    }

    private void cleanUp(Path directory) throws IOException {
        if (keepLogs || !Files.exists(directory)) {
            return;
        }
        List<Path> files;
        try (Stream<Path> tree = Files.walk(directory)) {
            files = tree.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.deleteIfExists(file);
        }
    }
}
