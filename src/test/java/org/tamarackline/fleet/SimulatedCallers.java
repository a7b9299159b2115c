package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

import org.tamarackline.core.fleet.JobDefinition;

/**
 * Submits and cancels the jobs of a {@link ClusterSimulation} through any of its nodes, and repeats each request until it
 * is answered.
 */
final class SimulatedCallers {

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(700);

    private final ManualLoop loop;
    private final RunHistory history;
    private final SimulatedJobs jobs;
    private final List<SimulatedNode> nodes;
    private final Random random;

    private final Map<String, JobDefinition> submitted = new TreeMap<>();
    private final Map<String, Long> acceptedNanos = new TreeMap<>();
    private final Set<String> cancelRequested = new TreeSet<>();
    private final Map<String, Long> cancelledNanos = new TreeMap<>();
    /** Jobs of which a cancellation was answered that there is no such job. */
    private final Set<String> withdrawn = new TreeSet<>();

    SimulatedCallers(
            ManualLoop loop, RunHistory history, SimulatedJobs jobs, List<SimulatedNode> nodes, Random random) {
        this.loop = loop;
        this.history = history;
        this.jobs = jobs;
        this.nodes = nodes;
        this.random = random;
    }

    /** Submits jobs at random times until {@code ended} holds, and cancels some of them. */
    void start(BooleanSupplier ended) {
        loop.schedule(millis(100 + random.nextInt(900)), () -> {
            if (ended.getAsBoolean()) {
                return;
            }
            JobDefinition job = jobs.nextJob();
            submit(job);
            if (random.nextInt(8) == 0) {
                // Some are cancelled while their submission is on its way.
                int delayMs = random.nextBoolean() ? random.nextInt(100) : 200 + random.nextInt(6_000);
                loop.schedule(millis(delayMs), () -> cancel(job.id()));
            }
            start(ended);
        });
    }

    /** Submits jobs at random times until {@code ended} holds, and cancels every second one a while later. */
    void startCancellingEverySecond(BooleanSupplier ended) {
        loop.schedule(millis(100 + random.nextInt(900)), () -> {
            if (ended.getAsBoolean()) {
                return;
            }
            submit(jobs.nextJob());
            loop.schedule(millis(100 + random.nextInt(900)), () -> {
                JobDefinition job = random.nextInt(3) == 0 ? jobs.longRunningJob() : jobs.nextJob();
                submit(job);
                loop.schedule(millis(200 + random.nextInt(5_800)), () -> cancel(job.id()));
                startCancellingEverySecond(ended);
            });
        });
    }

    void submit(JobDefinition job) {
        submitted.put(job.id(), job);
        history.submitted(job);
        trySubmit(job);
    }

    private void trySubmit(JobDefinition job) {
        if (acceptedNanos.containsKey(job.id()) || withdrawn.contains(job.id())) {
            return;
        }
        runningNode()
                .ifPresent(node -> node.process().requests().submit(job, outcome -> {
                    if (outcome instanceof JobRequestHandler.Outcome.Accepted
                            && acceptedNanos.putIfAbsent(job.id(), loop.nowNanos()) == null) {
                        history.event(node.name(), "accepts", job.id());
                        checkNotWithdrawn(job.id());
                    }
                }));
        loop.schedule(RETRY_INTERVAL, () -> trySubmit(job));
    }

    private void cancel(String job) {
        cancelRequested.add(job);
        if (cancelledNanos.containsKey(job) || withdrawn.contains(job)) {
            return;
        }
        runningNode()
                .ifPresent(node -> node.process().requests().cancel(job, outcome -> {
                    if (outcome instanceof JobRequestHandler.Outcome.Accepted
                            && cancelledNanos.putIfAbsent(job, loop.nowNanos()) == null) {
                        history.event(node.name(), "accepts the cancellation of", job);
                    } else if (outcome instanceof JobRequestHandler.Outcome.NoSuchJob && withdrawn.add(job)) {
                        history.withdrawn(job);
                        checkNotWithdrawn(job);
                    }
                }));
        loop.schedule(RETRY_INTERVAL, () -> cancel(job));
    }

    /** Checks that a job was not both accepted and answered to be unknown; it is not kept for so short a time. */
    private void checkNotWithdrawn(String job) {
        if (acceptedNanos.containsKey(job) && withdrawn.contains(job)) {
            history.report(RunHistory.Rule.WITHDRAWN_JOB_ACCEPTED, job, "accepted, and not known to a cancellation");
        }
    }

    private Optional<SimulatedNode> runningNode() {
        List<SimulatedNode> running =
                nodes.stream().filter(node -> node.process() != null).toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(running.get(random.nextInt(running.size())));
    }

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    /** Returns the submitted jobs by identifier. */
    Map<String, JobDefinition> submitted() {
        return Collections.unmodifiableMap(submitted);
    }

    /** Returns when the submission of each accepted job was answered. */
    Map<String, Long> acceptedNanos() {
        return Collections.unmodifiableMap(acceptedNanos);
    }

    /** Returns whether the cancellation of a job was requested, whatever became of the request. */
    boolean cancelRequested(String job) {
        return cancelRequested.contains(job);
    }

    /** Returns when the cancellation of each cancelled job was answered. */
    Map<String, Long> cancelledNanos() {
        return Collections.unmodifiableMap(cancelledNanos);
    }

    /** Returns whether the cancellation of a job was answered. */
    boolean cancelled(String job) {
        return cancelledNanos.containsKey(job);
    }
}
