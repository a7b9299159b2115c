package org.tamarackline.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.load.ChildProcess;
import org.tamarackline.load.EndedRequest;
import org.tamarackline.load.EntryAddresses;
import org.tamarackline.load.HistoryCheck;
import org.tamarackline.load.LoadClient;
import org.tamarackline.load.LoadGenerator;
import org.tamarackline.load.LoadPlan;
import org.tamarackline.load.LoadRecorder;
import org.tamarackline.load.LocalCluster;
import org.tamarackline.load.LocalClusterPlan;
import org.tamarackline.load.LocalJobClient;
import org.tamarackline.load.LocalOperatorClient;
import org.tamarackline.load.RequestOutcome;
import org.tamarackline.load.Waits;
import org.tamarackline.store.Row;

/** Local cluster of three entry nodes with a client that sends requests and jobs while a test injects faults. */
final class ClusterFixture implements AutoCloseable {

    static final int ENTRY_NODES = 3;
    static final Duration TIMEOUT = Duration.ofSeconds(90);

    private static final String SERVICE = "quotes";
    private static final String TEAM = "workshop";
    private static final int WORKERS = 2;
    private static final int PROCESSORS_PER_WORKER = 4;
    private static final int RUNNERS = 3;
    private static final long MILLIS_PER_PROCESSOR = 1_000;
    private static final long TASK_MEMORY_MB = 100;
    private static final int MAX_CONNECTIONS = 64;
    private static final int REQUESTS_PER_SECOND = 40;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
    private static final long SIGNAL_TIMEOUT_SECONDS = 10;
    private static final Duration SLOW_REQUEST = Duration.ofMillis(500);
    private static final Duration SHOWN_LOG_BEFORE = Duration.ofSeconds(5);
    private static final int MAX_SHOWN_LOG_LINES = 100;
    private static final Pattern LOG_TIMESTAMP = Pattern.compile("\"timestamp\":\"([^\"]+)\"");

    private final LocalCluster cluster;
    private final Path directory;
    private final LoadClient client = new LoadClient(MAX_CONNECTIONS, REQUEST_TIMEOUT);
    private final Queue<EndedRequest> requests = new ConcurrentLinkedQueue<>();
    private final Set<TaskId> acceptedTasks = new HashSet<>();

    private ClusterFixture(LocalCluster cluster, Path directory) {
        this.cluster = cluster;
        this.directory = directory;
    }

    /** Starts the cluster and returns when every node serves requests. */
    static ClusterFixture start(Path directory) throws IOException, InterruptedException {
        LocalClusterPlan plan = new LocalClusterPlan(
                Path.of("target", "tamarackline").toAbsolutePath(),
                directory,
                SERVICE,
                WORKERS,
                PROCESSORS_PER_WORKER,
                RUNNERS,
                ENTRY_NODES,
                Map.of(
                        "cluster", Map.of("drain_delay_ms", 200),
                        "jobs", Map.of("worker_renewal_interval_ms", 1_000, "task_lease_ms", 6_000)));
        ClusterFixture fixture = new ClusterFixture(LocalCluster.prepare(plan), directory);
        try {
            fixture.cluster.start();
            fixture.configure();
            return fixture;
        } catch (IOException | InterruptedException failure) {
            fixture.close();
            throw failure;
        }
    }

    LocalCluster cluster() {
        return cluster;
    }

    /** Returns the index of the entry node that owns the rack of the workers. */
    int rackOwner() throws IOException, InterruptedException {
        String url = cluster.platform().url() + "/table/scan?prefix=region/region-1/shard/";
        for (Row row : cluster.http().getJson(url, Row[].class)) {
            List<EntryAddresses> addresses = cluster.entryAddresses();
            for (int node = 0; node < addresses.size(); node++) {
                boolean isOwner = row.value()
                        .path("owner")
                        .asText()
                        .equals(addresses.get(node).peer());
                if (row.key().contains("rack-1") && isOwner) {
                    return node;
                }
            }
        }
        throw new IOException("no entry node owns the rack");
    }

    /** Starts a thread that sends requests to all nodes for {@code duration}. */
    Thread startLoad(Duration duration) {
        LoadGenerator runner = new LoadGenerator(client, new LoadRecorder(), requests::add);
        List<String> targets =
                cluster.entryAddresses().stream().map(EntryAddresses::callerUrl).toList();
        return Thread.ofVirtual().start(() -> {
            try {
                runner.run(loadPlan().withDuration(duration), targets, "run-" + System.nanoTime());
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Sends one request and returns its outcome for the caller. */
    RequestOutcome sendRequest(int node, String requestId) {
        String target = cluster.entryAddresses().get(node).callerUrl();
        long startNanos = System.nanoTime();
        RequestOutcome outcome = client.send(target, loadPlan(), requestId);
        requests.add(new EndedRequest(target, startNanos, System.nanoTime(), outcome));
        return outcome;
    }

    /** Submits a batch job through a node; returns empty if it is not accepted. */
    Optional<JobId> submit(int node, int tasks, Duration work) throws IOException, InterruptedException {
        Resources size = new Resources(MILLIS_PER_PROCESSOR, TASK_MEMORY_MB, 0);
        LocalJobClient.JobRequest request =
                new LocalJobClient.JobRequest(TEAM, "overnight plan", tasks, work.toMillis(), size);
        Optional<JobId> job = new LocalJobClient(cluster, node).submit(request);
        job.ifPresent(id -> IntStream.range(0, tasks).forEach(index -> acceptedTasks.add(new TaskId(id, index))));
        return job;
    }

    /** Submits a batch job until it is accepted, because a rack refuses jobs until its owner knows a worker. */
    JobId awaitAccepted(int node, int tasks, Duration work) throws IOException, InterruptedException {
        AtomicReference<JobId> accepted = new AtomicReference<>();
        Waits.until("node %d accepts a job".formatted(node), TIMEOUT, () -> {
            submit(node, tasks, work).ifPresent(accepted::set);
            return accepted.get() != null;
        });
        return accepted.get();
    }

    void awaitRunning(int node, JobId job, int tasks) throws IOException, InterruptedException {
        LocalJobClient jobs = new LocalJobClient(cluster, node);
        Waits.until("%d tasks run".formatted(tasks), TIMEOUT, () -> jobs.taskCount(job, "RUNNING") >= tasks);
    }

    void awaitDone(int node, JobId job) throws IOException, InterruptedException {
        LocalJobClient jobs = new LocalJobClient(cluster, node);
        Waits.until("the job is done", TIMEOUT, () -> jobs.isDone(job));
    }

    /** Compares the outcomes that callers received with the histories of the runners. */
    HistoryCheck.RequestCounts checkRequests() throws IOException, InterruptedException {
        return HistoryCheck.requests(outcomes(), cluster.runnerHistories());
    }

    /** Compares the accepted tasks with the histories of the workers. */
    HistoryCheck.TaskCounts checkTasks() throws IOException, InterruptedException {
        return HistoryCheck.tasks(acceptedTasks, cluster.workerRuns());
    }

    List<RequestOutcome> outcomes() {
        return requests.stream().map(EndedRequest::outcome).toList();
    }

    /**
     * Describes each request that was not answered, the answered ones that took long, and what the entry nodes logged from
     * shortly before {@code start} on, so that a failed assertion on the outcomes shows their cause.
     *
     * @param start the event to which the times of the requests are relative
     */
    String describeUnanswered(Instant start) {
        long startNanos =
                System.nanoTime() - Duration.between(start, Instant.now()).toNanos();
        List<String> lines = new ArrayList<>();
        lines.add("requests that were not answered or took more than %d ms, with times from %s:"
                .formatted(SLOW_REQUEST.toMillis(), start));
        requests.stream()
                .filter(request -> request.outcome().kind() != RequestOutcome.Kind.ANSWERED
                        || request.endNanos() - request.dueNanos() > SLOW_REQUEST.toNanos())
                .map(request -> describe(request, startNanos))
                .forEach(lines::add);
        for (int node = 0; node < ENTRY_NODES; node++) {
            lines.add("log of node %d from %s on:".formatted(node, start.minus(SHOWN_LOG_BEFORE)));
            lines.addAll(logLines(node, start.minus(SHOWN_LOG_BEFORE)));
        }
        return String.join(System.lineSeparator(), lines);
    }

    private String describe(EndedRequest request, long startNanos) {
        List<String> targets =
                cluster.entryAddresses().stream().map(EntryAddresses::callerUrl).toList();
        return "node %d, due at %d ms, ended at %d ms: %s"
                .formatted(
                        targets.indexOf(request.target()),
                        TimeUnit.NANOSECONDS.toMillis(request.dueNanos() - startNanos),
                        TimeUnit.NANOSECONDS.toMillis(request.endNanos() - startNanos),
                        request.outcome());
    }

    /** Returns the lines of a node's log that begin with a time from {@code start} on; the log is in the order of time. */
    private List<String> logLines(int node, Instant start) {
        Path log = directory.resolve("entry-%d.log".formatted(node));
        try {
            return Files.readAllLines(log).stream()
                    .dropWhile(line -> isBefore(line, start))
                    .limit(MAX_SHOWN_LOG_LINES)
                    .toList();
        } catch (IOException e) {
            return List.of("could not be read: " + e);
        }
    }

    private static boolean isBefore(String logLine, Instant time) {
        Matcher matcher = LOG_TIMESTAMP.matcher(logLine);
        return !matcher.find() || Instant.parse(matcher.group(1)).isBefore(time);
    }

    /** Suspends a process with SIGSTOP. */
    static void freeze(ChildProcess process) throws IOException, InterruptedException {
        signal("-STOP", process);
    }

    /** Resumes a frozen process with SIGCONT. */
    static void thaw(ChildProcess process) throws IOException, InterruptedException {
        signal("-CONT", process);
    }

    @Override
    public void close() {
        client.close();
        cluster.close();
    }

    private void configure() throws IOException, InterruptedException {
        LocalOperatorClient operator = new LocalOperatorClient(cluster, 0);
        operator.putTeam(
                TEAM, new Resources(WORKERS * PROCESSORS_PER_WORKER * MILLIS_PER_PROCESSOR, TASK_MEMORY_MB, 0));
        operator.putService(SERVICE, "quick answer", TEAM);
        for (int node = 0; node < ENTRY_NODES; node++) {
            String target = cluster.entryAddresses().get(node).callerUrl();
            Waits.until(
                    "node %d serves requests".formatted(node),
                    TIMEOUT,
                    () -> client.send(target, loadPlan(), "probe-" + System.nanoTime())
                                    .kind()
                            == RequestOutcome.Kind.ANSWERED);
        }
    }

    private LoadPlan loadPlan() {
        Map<String, String> headers = Map.of(
                "X-Work-Ms", "10",
                "Tamarackline-Deadline-Ms", "2000",
                "Authorization", "Bearer " + cluster.credentials().callerToken());
        return new LoadPlan(
                REQUESTS_PER_SECOND,
                Duration.ofSeconds(1),
                "/services/" + SERVICE + "/load",
                headers,
                1_000,
                REQUEST_TIMEOUT);
    }

    private static void signal(String signal, ChildProcess process) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
        if (!kill.waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS) || kill.exitValue() != 0) {
            throw new IOException("signal %s could not be sent to %s".formatted(signal, process.name()));
        }
    }
}
