package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;

import org.tamarackline.core.time.MonotonicClock;

/**
 * The scheduler state of one leader: its jobs, its runners, and the commands that are due.
 *
 * <p>A task is started only when no earlier run of it can still exist: the runner reported its end, confirmed a stop
 * before the start arrived, or restarted, or the lease of the run expired. Not thread-safe.
 */
public final class Fleet {

    /**
     * Number of run numbers per epoch for each task, so that the runs of a new leader have higher numbers than all
     * earlier ones.
     */
    private static final long RUNS_PER_EPOCH = 10_000;

    private final FleetObserver observer;
    private final MonotonicClock clock;
    private final InterferenceModel interference = new InterferenceModel();
    private final ThrottleController throttleController = new ThrottleController(interference);
    private final RunnerSelector runnerSelector = new RunnerSelector(interference);
    private final MigrationPlanner migrationPlanner = new MigrationPlanner(runnerSelector);
    private final TaskStarter starter;
    private final List<RunnerCommand> throttleCommands = new ArrayList<>();
    private final PendingStarts pendingStarts = new PendingStarts();
    private final JobTracker jobs;
    private final RunnerRegistry runners = new RunnerRegistry();

    private final UnreportedRunners unreportedRunners = new UnreportedRunners();
    private final LongRunningWaits longRunningWaits;
    private final PendingStops pendingStops = new PendingStops();
    private final RunLifecycle runs;
    private final StatusReconciler statuses;

    /**
     * Creates a fleet without jobs and runners.
     *
     * @param epoch fencing token of the leader, from 1
     * @param clock clock of the times that are passed to the fleet
     */
    public Fleet(long epoch, FleetObserver observer, MonotonicClock clock) {
        this.observer = observer;
        this.clock = clock;
        this.jobs = new JobTracker(observer, clock, pendingStarts, this::stopAll);
        this.runs = new RunLifecycle(jobs, pendingStarts, pendingStops, observer);
        this.statuses = new StatusReconciler(jobs, runs, pendingStops, unreportedRunners, observer);
        this.starter =
                new TaskStarter(jobs, runnerSelector, unreportedRunners, runners.all(), (epoch - 1) * RUNS_PER_EPOCH);
        this.longRunningWaits =
                new LongRunningWaits(jobs, pendingStarts, unreportedRunners, runners.all(), interference);
    }

    public JobTracker jobs() {
        return jobs;
    }

    /** Returns the runs of long-running tasks that are started once their placement is stored. */
    public PendingStarts pendingStarts() {
        return pendingStarts;
    }

    /** Returns the search for long-running tasks that have waited for long. */
    public LongRunningWaits longRunningWaits() {
        return longRunningWaits;
    }

    /** Returns how much each best-effort image is estimated to slow down each latency-critical image. */
    public Map<ImagePair, InterferenceEstimate> interferenceEstimates() {
        return interference.estimates();
    }

    /** Restores the interference estimates that an earlier leader stored. */
    public void restoreInterferenceEstimates(Map<ImagePair, InterferenceEstimate> estimates) {
        interference.restore(estimates);
    }

    // ---- Runners

    /**
     * Registers a runner on which an earlier leader may have started tasks, and returns it. Tasks that may still run
     * there are not started elsewhere until the runner has reported its status or its lease has expired.
     */
    public FleetRunner expectStatus(RunnerDescriptor descriptor) {
        unreportedRunners.add(descriptor.id());
        return runners.findOrCreate(descriptor);
    }

    /** Adds or updates a runner from its directory entry, and returns it. */
    public FleetRunner runnerRegistered(RunnerDescriptor descriptor) {
        FleetRunner runner = runners.findOrCreate(descriptor);
        runner.update(descriptor);
        if (descriptor.draining() || !runner.entryMayDescribeProcess()) {
            runs.removeUnsent(runner);
        }
        return runner;
    }

    /** Marks a runner as no longer in the directory; it gets no new tasks. */
    public void runnerDeregistered(String id) {
        FleetRunner runner = runners.find(id);
        if (runner != null) {
            runner.registered = false;
            runs.removeUnsent(runner);
        }
    }

    /** Marks a runner as silent; it gets no new tasks until it reports its status. */
    public void runnerSilent(String id) {
        FleetRunner runner = runners.find(id);
        if (runner != null) {
            runner.silent = true;
            runs.removeUnsent(runner);
        }
    }

    /** Sets whether a runner is cordoned, or may be according to the store; meanwhile it gets no new tasks. */
    public void setRunnerCordoned(String id, boolean cordoned) {
        FleetRunner runner = runners.find(id);
        if (runner != null) {
            runner.cordoned = cordoned;
        }
    }

    /**
     * Sets whether the store has confirmed the leader since it learned of the runner's process. Until then the runner
     * gets no new tasks: a successor may have started and finished tasks that are ready here, and the process may have
     * forgotten the successor's epoch. It also counts as unreported, if it did: the successor may have acknowledged ends
     * of an earlier process, which are missing from the status.
     */
    public void setRunnerConfirmed(String id, boolean confirmed) {
        FleetRunner runner = runners.find(id);
        if (runner == null) {
            return;
        }
        runner.unconfirmed = !confirmed;
        if (!confirmed) {
            runner.reported = false;
        } else if (runner.reported) {
            unreportedRunners.remove(id);
        }
    }

    /**
     * Sets whether ended runs should have been acknowledged to a runner long ago. Until that is done, the runner gets no
     * new tasks, because ends can be acknowledged only while no start is on its way.
     */
    public void setAcknowledgementOverdue(String id, boolean overdue) {
        FleetRunner runner = runners.find(id);
        if (runner != null) {
            runner.acknowledgementOverdue = overdue;
        }
    }

    /**
     * Removes all runs on a runner, none of which can still exist because the runner restarted or its lease expired.
     */
    public void runnerLost(String id) {
        unreportedRunners.remove(id);
        FleetRunner runner = runners.find(id);
        if (runner == null) {
            return;
        }
        runner.statusKnown = false;
        runner.heldRuns.clear();
        runner.orphanedRuns.clear();
        pendingStops.removeAll(runner);
        long nowNanos = clock.nowNanos();
        runner.unansweredStarts.onRunnerLost(runner.answeringProcessStartEpochMs, nowNanos);
        for (Run run : runner.snapshotOfRuns()) {
            runs.lose(run, "the runner is lost");
        }
        if (!runner.registered) {
            runners.remove(runner, nowNanos);
        }
    }

    public Collection<FleetRunner> runners() {
        return Collections.unmodifiableCollection(runners.all());
    }

    /** Returns the number of runners that may run tasks of an earlier leader and have not reported their status. */
    public int unreportedRunners() {
        return unreportedRunners.count();
    }

    /** Returns whether a runner may run tasks of an earlier leader and has not reported its status. */
    public boolean unreported(String id) {
        return unreportedRunners.contains(id);
    }

    /** Measures the load. */
    public FleetLoad load() {
        return FleetLoad.measure(jobs, runners.all(), unreportedRunners, clock.nowNanos());
    }

    /**
     * Records which process of a runner has answered, also if its status must not be applied yet. Runs that a new process
     * may still be told to start are stopped there.
     *
     * @param requestSentNanos when the request was sent that the process has answered
     */
    public void processAnswered(FleetRunner runner, long processStartEpochMs, long requestSentNanos, long nowNanos) {
        statuses.processAnswered(runner, processStartEpochMs, requestSentNanos, nowNanos);
    }

    /**
     * Applies a status that a runner reported.
     *
     * @param requestSentNanos when the status was requested; it covers every start and stop confirmed before
     */
    public void applyStatus(FleetRunner runner, RunnerStatus status, long requestSentNanos, long nowNanos) {
        statuses.apply(runner, status, requestSentNanos, nowNanos);
        throttleCommands.addAll(throttleController.adjustSpeeds(runner, nowNanos));
    }

    /**
     * Returns the position up to which no processed end of a runner belongs to a dirty job, or is to be stored on its own.
     * The results of these ends are stored once the transaction is that contains the jobs taken last.
     *
     * @param endsInTransaction ends that this transaction stores
     */
    public ProcessedEnds processedEndsToStore(FleetRunner runner, Collection<HeldEnd> endsInTransaction) {
        long last = runner.unstoredEnds.lastBefore(
                runner.lastProcessedEnd,
                end -> jobs.isDirty(end.task().job()) || jobs.held().isUnstored(end, endsInTransaction));
        return new ProcessedEnds(runner.processStartEpochMs, last);
    }

    /** Records that the results of ended runs are stored, unless the runner has another process by now. */
    public void onEndsStored(FleetRunner runner, ProcessedEnds stored) {
        if (stored.processStartEpochMs() == runner.processStartEpochMs) {
            runner.unstoredEnds.removeUpTo(stored.lastSequenceNumber());
        }
    }

    /**
     * Isolates a job because the store rejects its progress: the ends of its runs are stored one by one, so that the
     * runners may discard them and those of other jobs.
     */
    public void isolateJob(Job job) {
        jobs.isolate(job);
        for (FleetRunner runner : runners.all()) {
            runner.unstoredEnds.of(job).forEach(jobs.held()::storeEnd);
        }
    }

    /**
     * Loads a held job, applies the ends of its runs that were reported since, and adopts the runs that go on. No runner
     * may be unreported, because a run there is not known.
     */
    public void loadHeldJob(JobDefinition definition, JobProgress progress, long nowNanos, long nowEpochMs) {
        jobs.addWithStoredEnds(definition, progress, true, nowEpochMs);
        for (FleetRunner runner : runners.all()) {
            for (RunnerStatus.ActiveRun entry : List.copyOf(runner.heldRuns.values())) {
                if (entry.task().job().equals(definition.id())) {
                    runner.heldRuns.remove(new FleetRunner.RunKey(entry.task(), entry.runNumber()));
                    statuses.adoptOrStop(runner, entry, nowNanos);
                }
            }
        }
    }

    // ---- Commands

    /**
     * Returns the commands that are due: stops, including retries, speed changes, and starts of ready tasks that fit on
     * a runner.
     *
     * @param nowEpochMs wall-clock time, for the due times of occurrences
     * @param maxStarts maximum number of tasks to start; a gang may exceed it
     */
    public List<RunnerCommand> schedule(long nowNanos, long nowEpochMs, int maxStarts) {
        List<RunnerCommand> commands = new ArrayList<>(throttleCommands);
        throttleCommands.clear();
        jobs.createAllDueOccurrences(nowEpochMs);
        commands.addAll(pendingStops.takeDue(nowNanos));
        replacePendingStarts();
        List<Run> starts = pendingStarts.take(maxStarts);
        starts.addAll(placeReadyTasks(maxStarts - starts.size(), nowNanos, nowEpochMs));
        starts.forEach(run -> commands.add(new RunnerCommand.Start(run)));
        for (Run run : migrationPlanner.runsToMigrate(runners.all(), nowNanos)) {
            observer.runEvicted(run, MigrationPlanner.reason(run));
            runs.stop(run);
        }
        return commands;
    }

    /** Makes the tasks ready again whose runner has changed since they were placed and does not accept the start. */
    private void replacePendingStarts() {
        for (Run run : pendingStarts.stored()) {
            if (!mayStartOnItsRunner(run)) {
                runs.remove(run);
            }
        }
    }

    /** Assigns ready tasks to runners; returns the runs that can start without storing their placement first. */
    private List<Run> placeReadyTasks(int maxStarts, long nowNanos, long nowEpochMs) {
        List<Run> startable = new ArrayList<>();
        for (Run run : starter.start(maxStarts, nowNanos, nowEpochMs)) {
            if (run.task().step().longRunning()) {
                pendingStarts.add(run);
                jobs.markDirty(run.task().job());
            } else {
                startable.add(run);
            }
        }
        return startable;
    }

    /**
     * Returns whether the start of a run may be sent: the run still exists, its start has not been confirmed or given up,
     * and its runner has not changed since in a way that rules it out.
     */
    public boolean maySendStart(Run run) {
        return run.phase == Run.Phase.STARTING
                && run.runner().find(run.task().key(), run.number()) == run
                && mayStartOnItsRunner(run);
    }

    private static boolean mayStartOnItsRunner(Run run) {
        return run.runner().acceptsStartOf(run.task()) && run.runner().hasRoomFor(run);
    }

    /**
     * Records that an attempt to start a run is sent. Until all attempts are answered, one of them may be executed late,
     * also by a process of the runner that starts meanwhile.
     */
    public void startSent(Run run, long nowNanos) {
        run.runner().unansweredStarts.onSent(run.key(), nowNanos);
    }

    /** Records that all attempts to start a run have been answered. */
    public void startAnswered(Run run) {
        run.runner().unansweredStarts.onAllAnswered(run.key());
    }

    /** Applies the result of a start command. */
    public void applyStartResult(Run run, StartResult result, long nowNanos) {
        observer.startCompleted(result);
        if (run.runner().find(run.task().key(), run.number()) != run) {
            return;
        }
        switch (result) {
            case STARTED -> {
                if (run.phase == Run.Phase.STARTING) {
                    run.phase = Run.Phase.RUNNING;
                }
                run.runner().health.recordStart();
                runs.confirmStart(run, nowNanos);
            }
            case NO_ROOM, REFUSED -> {
                run.runner().health.recordRefusal(nowNanos);
                runs.remove(run);
            }
            case ANSWERED_LATE -> {
                run.runner().health.recordLateAnswer(nowNanos);
                runs.remove(run);
            }
            case RUNNER_REPLACED, NOT_SENT -> runs.remove(run);
            default -> startNotConfirmed(run);
        }
    }

    /** Stops a run whose start got no response, unless a status has shown in the meantime that it runs. */
    private void startNotConfirmed(Run run) {
        if (run.phase == Run.Phase.STARTING) {
            runs.stop(run);
        }
    }

    /**
     * Marks the speed of a run as unknown because a throttle command was not confirmed; it is sent again after the next
     * status.
     */
    public void throttleNotConfirmed(Run run) {
        run.speedPercent = Run.UNKNOWN_SPEED;
    }

    /** Records that a runner confirmed a stop; the run can no longer start there. */
    public void applyStopConfirmation(FleetRunner runner, TaskKey task, long runNumber, long nowNanos) {
        FleetRunner.RunKey key = new FleetRunner.RunKey(task, runNumber);
        Run run = runner.find(task, runNumber);
        if (runs.onStopConfirmed(runner, key) && run == null) {
            // The start may have taken effect since the last status, and its run takes some time to end.
            runner.orphanedRuns.addPossible(key, jobs.reservation(task), nowNanos);
        }
        if (run != null && !run.stopConfirmed) {
            run.stopConfirmed = true;
            run.stopConfirmedNanos = nowNanos;
        }
    }

    private void stopAll(Task task) {
        runs.stopAll(task);
    }
}
