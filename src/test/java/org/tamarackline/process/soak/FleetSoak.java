package org.tamarackline.process.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpStartException;
import org.tamarackline.standin.fleet.StandinCaller;
import org.tamarackline.standin.fleet.StandinFleet;

/** Runs a fleet of real node processes under faults and checks what the runners saw. */
public final class FleetSoak implements AutoCloseable {

    private static final long DEFAULT_TASK_MS = 400;
    private static final int CONNECTIONS_PER_NODE = 4;
    private static final Duration START_TIME = Duration.ofSeconds(4);

    /** Time in which the callers finish after the last pause. */
    private static final Duration END_TIME = Duration.ofSeconds(1);

    /** Shortest burst with its pause that is worth to begin. */
    private static final Duration MIN_ROUND = Duration.ofSeconds(20);

    private final SoakSettings settings;
    private final SoakClock clock = new SoakClock();
    private final RunHistory history = new RunHistory();
    private final FaultLog faults = new FaultLog();
    private final NodeLogs logs = new NodeLogs(clock);
    private final BusyProcesses busyProcesses = new BusyProcesses();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final StandinFleet fleet;
    private final AsyncHttpClient http;
    private final SoakCallers callers;

    private FleetSoak(SoakSettings settings) throws IOException, HttpStartException {
        this.settings = settings;
        this.fleet = new StandinFleet(settings.runners(), DEFAULT_TASK_MS, history);
        this.http = new AsyncHttpClient(CONNECTIONS_PER_NODE);
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < settings.nodes(); i++) {
            NodeProcess node = new NodeProcess(i + 1, settings.directory(), fleet.storeAddress(), logs);
            nodes.add(node);
            addresses.add(node.callerAddress());
        }
        this.callers = new SoakCallers(new StandinCaller(http), addresses, settings.seed());
    }

    /** Runs a soak and writes its report beside the logs. */
    public static SoakReport run(SoakSettings settings) throws Exception {
        emptyDirectory(settings.directory());
        SoakReport report;
        try (FleetSoak soak = new FleetSoak(settings)) {
            Thread endOfProcess = new Thread(soak::endProcesses);
            Runtime.getRuntime().addShutdownHook(endOfProcess);
            report = soak.run();
            Runtime.getRuntime().removeShutdownHook(endOfProcess);
        }
        List<String> lines = new ArrayList<>(report.summary());
        lines.add(report.violations().size() + " violations");
        lines.addAll(report.violations());
        Files.write(settings.directory().resolve("report.txt"), lines);
        return report;
    }

    private static void emptyDirectory(Path directory) throws IOException {
        Files.createDirectories(directory);
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                Files.delete(file);
            }
        }
    }

    private SoakReport run() throws IOException, InterruptedException {
        FaultInjector injector = new FaultInjector(fleet, faults);
        FaultSchedule schedule = new FaultSchedule(settings.seed(), nodes, fleet.runners(), logs, history, injector);
        busyProcesses.start(settings.busyProcesses());
        schedule.startNodes();
        callers.start();
        Thread.sleep(START_TIME);
        Set<String> unknownJobs = new LinkedHashSet<>();
        Duration left = timeLeft();
        while (left.compareTo(MIN_ROUND) >= 0) {
            schedule.runBurst(left);
            unknownJobs.addAll(callers.unknownJobs());
            left = timeLeft();
        }
        long observedUntilNanos = System.nanoTime();
        List<SoakJob> jobs = callers.acceptedJobs();
        callers.stop();
        return new SoakEvaluation(clock, history, logs, faults.all())
                .report(jobs, List.copyOf(unknownJobs), observedUntilNanos);
    }

    private Duration timeLeft() {
        return settings.duration().minus(clock.elapsed()).minus(END_TIME);
    }

    private void endProcesses() {
        busyProcesses.end();
        try {
            for (NodeProcess node : nodes) {
                node.kill();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException("a node could not be killed", failure);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        endProcesses();
        http.close();
        fleet.close();
    }
}
