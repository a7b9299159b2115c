package org.tamarackline.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

import ch.qos.logback.classic.Level;
import io.dropwizard.logging.common.BootstrapLogging;
import org.kohsuke.args4j.Option;
import org.tamarackline.cli.Command;
import org.tamarackline.cli.ExitCodes;
import org.tamarackline.core.model.Resources;

/** Runs a local cluster with stand-ins for some time and periodically prints the resource usage of its entry nodes. */
public final class LocalClusterCommand implements Command {

    private static final int WORKER_PROCESSORS = 16;
    private static final long MILLIS_PER_PROCESSOR = 1_000;
    private static final long WORKER_MEMORY_MB = 8_000;
    private static final String TEAM = "local";

    @Option(
            name = "--directory",
            metaVar = "DIR",
            usage = "directory for settings, logs and caller.token",
            required = true)
    private Path directory;

    @Option(name = "--entry-nodes", metaVar = "N", usage = "number of entry nodes")
    private int entryNodes = 3;

    @Option(name = "--workers", metaVar = "N", usage = "number of workers, 8 to a rack")
    private int workers = 8;

    @Option(name = "--runners", metaVar = "N", usage = "number of runners")
    private int runners = 6;

    @Option(name = "--service", metaVar = "NAME", usage = "service for which runners are started")
    private String service = "orders";

    @Option(name = "--tasks", metaVar = "N", usage = "number of batch tasks that run all the time")
    private int tasks;

    @Option(name = "--interval-s", metaVar = "S", usage = "seconds between two reports")
    private int intervalSeconds = 30;

    @Option(name = "--reports", metaVar = "N", usage = "reports to print before the end")
    private int reports = 2;

    @Override
    public int run() throws Exception {
        BootstrapLogging.bootstrap(Level.WARN);
        Files.createDirectories(directory);
        LocalClusterPlan plan = new LocalClusterPlan(
                BinaryLocator.current(),
                directory.toAbsolutePath(),
                service,
                workers,
                WORKER_PROCESSORS,
                runners,
                entryNodes,
                LocalCluster.shortDrainSettings());
        try (LocalCluster cluster = LocalCluster.prepare(plan)) {
            Runtime.getRuntime().addShutdownHook(new Thread(cluster::killAll, "end-on-signal"));
            cluster.start();
            configure(cluster);
            writeLoadOptions(cluster);
            printReports(cluster);
        }
        return ExitCodes.SUCCESS;
    }

    private void configure(LocalCluster cluster) throws IOException, InterruptedException {
        LocalOperatorClient operator = new LocalOperatorClient(cluster, 0);
        operator.putTeam(
                TEAM,
                new Resources(
                        (long) workers * WORKER_PROCESSORS * MILLIS_PER_PROCESSOR, workers * WORKER_MEMORY_MB, 0));
        operator.putService(service, "quick answer", TEAM);
        if (tasks > 0) {
            Duration workDuration = Duration.ofSeconds((long) intervalSeconds * (reports + 2));
            Resources resources = new Resources(100, 50, 0);
            LocalJobClient.JobRequest request =
                    new LocalJobClient.JobRequest(TEAM, "overnight plan", tasks, workDuration.toMillis(), resources);
            if (new LocalJobClient(cluster, 0).submit(request).isEmpty()) {
                throw new IOException("the job of %d tasks was refused".formatted(tasks));
            }
        }
    }

    private void writeLoadOptions(LocalCluster cluster) throws IOException {
        Path token = directory.resolve("caller.token");
        Files.writeString(token, cluster.credentials().callerToken());
        String targets = cluster.entryAddresses().stream()
                .map(address -> "--target " + address.callerUrl())
                .collect(Collectors.joining(" "));
        String direct = cluster.runners().stream()
                .map(runner -> "--direct " + runner.url())
                .collect(Collectors.joining(" "));
        Files.writeString(
                directory.resolve("load.options"), "%s %s --service %s%n".formatted(targets, direct, service));
        System.out.printf(
                "%d entry nodes, %d workers and %d runners run; options for the load command are in load.options%n",
                entryNodes, workers, runners);
    }

    private void printReports(LocalCluster cluster) throws IOException, InterruptedException {
        ResourceMeter meter = new ResourceMeter(cluster);
        for (int i = 0; i < reports; i++) {
            Thread.sleep(Duration.ofSeconds(intervalSeconds));
            List<String> lines = meter.readUsage();
            lines.forEach(System.out::println);
        }
    }
}
