package org.tamarackline.load;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.standin.upstream.StandinUpstream;

/**
 * The scenario of the demonstration: batch tasks fill the workers of a local cluster while latency-critical requests
 * are served. A latency-critical task then needs capacity, so that the system evicts two batch tasks and later resumes
 * them.
 */
final class DemoScenario {

    static final String SERVICE = "quotes";
    static final int WORKERS = 4;
    static final int WORKER_PROCESSORS = 5;
    static final int BATCH_TASKS = 20;

    private static final String TEAM = "workshop";
    private static final int REQUESTS = 1_000;
    private static final int REQUESTS_PER_SECOND = 200;
    private static final int WARMUP_REQUESTS_PER_SECOND = 100;
    private static final Duration WARMUP = Duration.ofSeconds(3);
    private static final int BODY_BYTES = 200;
    private static final int SERVICE_TIME_MS = 5;
    private static final int DEADLINE_MS = 5_000;
    private static final long BATCH_WORK_MS = 9_000;
    private static final long LATENCY_CRITICAL_WORK_MS = 2_000;
    private static final long TASK_MEMORY_MB = 100;

    /** Five tasks use 90 % of a worker; placement reserves the rest for latency-critical tasks. */
    private static final long BATCH_PROCESSOR_MILLIS = 900;

    /** More than is free on a worker with four batch tasks and at most what is free with three, so two are evicted. */
    private static final long LATENCY_CRITICAL_PROCESSOR_MILLIS = 2_000;

    private static final long MILLIS_PER_PROCESSOR = 1_000;
    private static final int CONNECTIONS = 64;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(25);

    private final LocalCluster cluster;
    private final PrintStream out;
    private final List<String> targets;
    private final LocalJobClient jobs;

    DemoScenario(LocalCluster cluster, PrintStream out) {
        this.cluster = cluster;
        this.out = out;
        this.targets =
                cluster.entryAddresses().stream().map(EntryAddresses::callerUrl).toList();
        this.jobs = new LocalJobClient(cluster, 0);
    }

    DemoResult run() throws IOException, InterruptedException {
        configure();
        awaitRouting();
        warmUp();
        JobId batchJob = submit("overnight plan", BATCH_TASKS, BATCH_WORK_MS, BATCH_PROCESSOR_MILLIS);
        Waits.until("all batch tasks run", STEP_TIMEOUT, () -> jobs.taskCount(batchJob, "RUNNING") == BATCH_TASKS);
        out.printf(
                "%d batch tasks fill the workers; starting a latency-critical task and %d requests%n",
                BATCH_TASKS, REQUESTS);
        JobId latencyCriticalJob =
                submit("quick answer", 1, LATENCY_CRITICAL_WORK_MS, LATENCY_CRITICAL_PROCESSOR_MILLIS);
        LoadRecorder recorder = new LoadRecorder();
        Queue<RequestOutcome> outcomes = sendRequests(recorder);
        Waits.until("the latency-critical task is done", STEP_TIMEOUT, () -> jobs.isDone(latencyCriticalJob));
        Waits.until("all batch tasks are done", STEP_TIMEOUT, () -> jobs.isDone(batchJob));
        Set<TaskId> accepted = new HashSet<>(tasksOf(batchJob, BATCH_TASKS));
        accepted.addAll(tasksOf(latencyCriticalJob, 1));
        return new DemoResult(
                recorder.result(),
                HistoryCheck.requests(outcomes, cluster.runnerHistories()),
                HistoryCheck.tasks(accepted, cluster.workerRuns()),
                REQUESTS,
                accepted.size());
    }

    private void configure() throws IOException, InterruptedException {
        LocalOperatorClient operator = new LocalOperatorClient(cluster, 0);
        operator.putTeam(TEAM, new Resources(WORKERS * WORKER_PROCESSORS * MILLIS_PER_PROCESSOR, TASK_MEMORY_MB, 0));
        operator.putService(SERVICE, "quick answer", TEAM);
    }

    /** Waits until each entry node knows the service and routes requests to a runner. */
    private void awaitRouting() throws IOException, InterruptedException {
        try (LoadClient client = new LoadClient(CONNECTIONS, REQUEST_TIMEOUT)) {
            for (String target : targets) {
                Waits.until(
                        "requests are answered",
                        STEP_TIMEOUT,
                        () -> client.send(target, plan(), "probe-" + UUID.randomUUID())
                                        .kind()
                                == RequestOutcome.Kind.ANSWERED);
            }
        }
    }

    /** Sends requests that are not measured, because a newly started process responds slowly. */
    private void warmUp() throws InterruptedException {
        try (LoadClient client = new LoadClient(CONNECTIONS, REQUEST_TIMEOUT)) {
            LoadPlan plan = plan(WARMUP_REQUESTS_PER_SECOND, WARMUP);
            new LoadGenerator(client, new LoadRecorder(), request -> {}).run(plan, targets, "warm-up");
        }
    }

    private JobId submit(String profile, int tasks, long workMs, long processorMillis)
            throws IOException, InterruptedException {
        Resources resources = new Resources(processorMillis, TASK_MEMORY_MB, 0);
        LocalJobClient.JobRequest request = new LocalJobClient.JobRequest(TEAM, profile, tasks, workMs, resources);
        return jobs.submit(request)
                .orElseThrow(() -> new IOException("the job for profile \"%s\" was refused".formatted(profile)));
    }

    private Queue<RequestOutcome> sendRequests(LoadRecorder recorder) throws InterruptedException {
        Queue<RequestOutcome> outcomes = new ConcurrentLinkedQueue<>();
        try (LoadClient client = new LoadClient(CONNECTIONS, REQUEST_TIMEOUT)) {
            new LoadGenerator(client, recorder, request -> outcomes.add(request.outcome()))
                    .run(plan(), targets, "demo");
        }
        return outcomes;
    }

    private LoadPlan plan() {
        return plan(REQUESTS_PER_SECOND, Duration.ofSeconds(REQUESTS / REQUESTS_PER_SECOND));
    }

    private LoadPlan plan(int ratePerSecond, Duration duration) {
        Map<String, String> headers = Map.of(
                StandinUpstream.WORK_HEADER,
                Integer.toString(SERVICE_TIME_MS),
                "Tamarackline-Deadline-Ms",
                Integer.toString(DEADLINE_MS),
                "Authorization",
                "Bearer " + cluster.credentials().callerToken());
        return new LoadPlan(
                ratePerSecond, duration, "/services/" + SERVICE + "/load", headers, BODY_BYTES, REQUEST_TIMEOUT);
    }

    private static Set<TaskId> tasksOf(JobId job, int tasks) {
        Set<TaskId> ids = new HashSet<>();
        for (int index = 0; index < tasks; index++) {
            ids.add(new TaskId(job, index));
        }
        return ids;
    }
}
