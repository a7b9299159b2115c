package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.tamarackline.core.model.Resources;

/** A fleet with a clock that the test advances, and builders for job, step and runner definitions. */
final class FleetFixture {

    static final String SERVICE = "dispatch";
    static final Resources SMALL = new Resources(1_000, 1_000, 0);

    private final Fleet fleet;
    private long nowNanos = 1;

    FleetFixture(long epoch) {
        fleet = new Fleet(epoch, new NoOpObserver(), this::nowNanos);
    }

    Fleet fleet() {
        return fleet;
    }

    long nowNanos() {
        return nowNanos;
    }

    void advanceMs(long ms) {
        nowNanos += ms * 1_000_000;
    }

    FleetRunner addRunner(String id, long processorMillis) {
        return addRunner(descriptor(id, processorMillis));
    }

    FleetRunner addRunner(RunnerDescriptor descriptor) {
        FleetRunner runner = fleet.runnerRegistered(descriptor);
        reportStatus(runner, List.of(), List.of());
        return runner;
    }

    void reportStatus(
            FleetRunner runner, List<RunnerStatus.ActiveRun> activeRuns, List<RunnerStatus.EndedRun> endedRuns) {
        reportStatus(runner, 1, activeRuns, endedRuns);
    }

    /** Reports the status of a process whose directory entry has been read. */
    void reportStatus(
            FleetRunner runner,
            long processStartEpochMs,
            List<RunnerStatus.ActiveRun> activeRuns,
            List<RunnerStatus.EndedRun> endedRuns) {
        if (!runner.descriptor().mayDescribe(processStartEpochMs)) {
            fleet.runnerRegistered(RunnerEntries.ofProcess(runner.descriptor(), processStartEpochMs));
        }
        reportStatusBeforeEntry(runner, processStartEpochMs, activeRuns, endedRuns);
    }

    /** Reports the status of a process whose directory entry need not have been read. */
    void reportStatusBeforeEntry(
            FleetRunner runner,
            long processStartEpochMs,
            List<RunnerStatus.ActiveRun> activeRuns,
            List<RunnerStatus.EndedRun> endedRuns) {
        advanceMs(1);
        long requestSentNanos = nowNanos;
        advanceMs(1);
        fleet.applyStatus(
                runner,
                new RunnerStatus(processStartEpochMs, nowNanos / 1_000_000, activeRuns, endedRuns),
                requestSentNanos,
                nowNanos);
    }

    /**
     * Schedules, stores the placement of long-running tasks, and returns the started runs, the long-running ones first.
     */
    List<Run> scheduleStarts() {
        List<Run> started = scheduleStartsWithoutStoring();
        List<Run> unstoredRuns = new ArrayList<>();
        for (FleetRunner runner : fleet.runners()) {
            for (Run run : runner.snapshotOfRuns()) {
                unstoredRuns.addAll(fleet.pendingStarts().unstored(run.task().job()));
            }
        }
        if (!unstoredRuns.isEmpty()) {
            fleet.pendingStarts().markStored(unstoredRuns);
            started.addAll(0, scheduleStartsWithoutStoring());
        }
        return started;
    }

    /** Schedules without storing anything, and returns the started runs. Each start is sent once. */
    List<Run> scheduleStartsWithoutStoring() {
        List<Run> started = new ArrayList<>();
        for (RunnerCommand command : fleet.schedule(nowNanos, nowNanos / 1_000_000, Integer.MAX_VALUE)) {
            if (command instanceof RunnerCommand.Start start) {
                fleet.startSent(start.run(), nowNanos);
                started.add(start.run());
            }
        }
        return started;
    }

    /** Schedules, and returns the stop commands. */
    List<RunnerCommand.Stop> scheduleStops() {
        List<RunnerCommand.Stop> stops = new ArrayList<>();
        for (RunnerCommand command : fleet.schedule(nowNanos, nowNanos / 1_000_000, Integer.MAX_VALUE)) {
            if (command instanceof RunnerCommand.Stop stop) {
                stops.add(stop);
            }
        }
        return stops;
    }

    /** Returns all dirty jobs and marks them as clean, as a transaction without a limit does. */
    static List<Job> takeDirtyJobs(Fleet fleet) {
        List<Job> taken = new ArrayList<>();
        for (Optional<Job> job = fleet.jobs().takeDirtyJob();
                job.isPresent();
                job = fleet.jobs().takeDirtyJob()) {
            taken.add(job.get());
        }
        return taken;
    }

    void applyStartResult(Run run, StartResult result) {
        advanceMs(1);
        if (result != StartResult.UNKNOWN) {
            fleet.startAnswered(run);
        }
        fleet.applyStartResult(run, result, nowNanos);
    }

    /** Returns the progress of a job that would be stored. */
    JobProgress progress(String job) {
        Task task = fleet.jobs().findTask(new TaskKey(job, 0, 0, 0));
        return task == null ? JobProgress.NONE : task.job().progress();
    }

    static RunnerStatus.ActiveRun activeRun(Run run, double progressPercent) {
        return new RunnerStatus.ActiveRun(run.task().key(), run.number(), "", progressPercent, -1);
    }

    static RunnerStatus.EndedRun endedRun(long sequenceNumber, Run run, EndReason reason) {
        return new RunnerStatus.EndedRun(sequenceNumber, run.task().key(), run.number(), reason, "");
    }

    static RunnerDescriptor descriptor(String id, long processorMillis) {
        return descriptor(id, SERVICE, processorMillis, Set.of("a", "r1-1"));
    }

    static RunnerDescriptor descriptor(String id, String service, long processorMillis, Set<String> labels) {
        Resources capacity = new Resources(processorMillis, 64_000, 0);
        return new RunnerDescriptor(id, 1, service, "10.0.0.1:80", "dc", "r1-1", false, capacity, labels);
    }

    static JobDefinition job(String id, StepDefinition... steps) {
        QueueDefinition queue = new QueueDefinition("queue", "host", "/q/", SERVICE, 0, 2, 2, 1_000, false);
        return new JobDefinition(id, queue, "spec", List.of(steps), 0, 0, 0, 0);
    }

    static StepDefinition step(int count, Integer... dependencies) {
        return new StepDefinition(
                count,
                SMALL,
                1_000,
                List.of(dependencies),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    /** Returns a step whose tasks need a label, and of which a runner gets at most {@code maxPerRunner} tasks. */
    static StepDefinition labelled(int count, String label, int maxPerRunner) {
        return new StepDefinition(
                count,
                SMALL,
                1_000,
                List.of(),
                false,
                false,
                false,
                label,
                "",
                maxPerRunner,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    /** Returns a step of long-running tasks without a latency target. */
    static StepDefinition longRunning(int count) {
        return new StepDefinition(
                count, SMALL, 0, List.of(), false, false, false, "", "", 0, false, true, "", 0, false, 0);
    }

    static StepDefinition gang(int count) {
        return new StepDefinition(
                count, SMALL, 1_000, List.of(), false, true, false, "", "", 0, false, false, "", 0, false, 0);
    }

    static StepDefinition bestEffort() {
        return bestEffort("image");
    }

    static StepDefinition bestEffort(String image) {
        return new StepDefinition(
                1, SMALL, 1_000, List.of(), true, false, false, "", "", 0, false, false, image, 0, true, 0);
    }

    /** Returns a step of latency-critical tasks with a latency target of 100 ms. */
    static StepDefinition latencyCritical(String image, int count, long processorMillis) {
        Resources demand = new Resources(processorMillis, 1_000, 0);
        return new StepDefinition(
                count, demand, 0, List.of(), false, false, false, "", "", 0, false, true, image, 100, false, 0);
    }

    static RunnerStatus.ActiveRun activeRun(Run run, double progressPercent, double measurement) {
        return new RunnerStatus.ActiveRun(run.task().key(), run.number(), "", progressPercent, measurement);
    }

    private static final class NoOpObserver implements FleetObserver {

        @Override
        public void jobFinished(Job job) {}

        @Override
        public void runAdopted(Run run) {}

        @Override
        public void runEvicted(Run run, String reason) {}

        @Override
        public void runLost(Run run, String reason) {}

        @Override
        public void runnerRestarted(FleetRunner runner, long previousStartEpochMs) {}

        @Override
        public void runEnded(FleetRunner runner, RunnerStatus.EndedRun end, Run run) {}
    }
}
