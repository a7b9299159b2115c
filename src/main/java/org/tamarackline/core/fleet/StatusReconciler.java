package org.tamarackline.core.fleet;

import java.util.HashSet;
import java.util.Set;

/** Reconciles the runs of a runner, as the leader knows them, with the status that the runner reports. */
final class StatusReconciler {

    private final JobTracker jobs;
    private final RunLifecycle runs;
    private final PendingStops pendingStops;
    private final UnreportedRunners unreportedRunners;
    private final FleetObserver observer;

    StatusReconciler(
            JobTracker jobs,
            RunLifecycle runs,
            PendingStops pendingStops,
            UnreportedRunners unreportedRunners,
            FleetObserver observer) {
        this.jobs = jobs;
        this.runs = runs;
        this.pendingStops = pendingStops;
        this.unreportedRunners = unreportedRunners;
        this.observer = observer;
    }

    /**
     * Applies a status that a runner reported.
     *
     * @param requestSentNanos when the status was requested; it covers every start and stop confirmed before
     */
    void apply(FleetRunner runner, RunnerStatus status, long requestSentNanos, long nowNanos) {
        processAnswered(runner, status.processStartEpochMs(), requestSentNanos, nowNanos);
        if (runner.processStartEpochMs != status.processStartEpochMs()) {
            startIncarnation(runner, status.processStartEpochMs(), requestSentNanos, nowNanos);
        }
        runner.statusKnown = true;
        runner.silent = false;
        for (RunnerStatus.EndedRun entry : status.endedRuns()) {
            if (entry.sequenceNumber() > runner.lastProcessedEnd) {
                runner.lastProcessedEnd = entry.sequenceNumber();
                applyEnd(runner, entry, nowNanos);
                runner.unstoredEnds.add(entry);
                if (jobs.isIsolated(entry.task().job())) {
                    jobs.held().storeEnd(entry);
                }
                jobs.onEndProcessed(entry.task().job());
            }
        }
        if (!status.truncated()) {
            runner.heldRuns.clear();
        }
        Set<FleetRunner.RunKey> reported = new HashSet<>();
        for (RunnerStatus.ActiveRun entry : status.activeRuns()) {
            reported.add(new FleetRunner.RunKey(entry.task(), entry.runNumber()));
            applyRunning(runner, entry, status.clockMs(), nowNanos);
        }
        if (!status.truncated()) {
            loseMissingRuns(runner, reported, requestSentNanos, nowNanos);
            runner.reported = true;
            if (!runner.unconfirmed) {
                unreportedRunners.remove(runner.id());
            }
        }
        pendingStops.retainUnknownRuns(runner, reported);
        runner.orphanedRuns.retainReported(reported, requestSentNanos);
        stopUnresolvedStarts(runner, nowNanos);
        evictStalledRuns(runner, nowNanos);
    }

    private void loseMissingRuns(
            FleetRunner runner, Set<FleetRunner.RunKey> reported, long requestSentNanos, long nowNanos) {
        for (Run run : runner.snapshotOfRuns()) {
            boolean missing = !reported.contains(run.key());
            if (missing && confirmedBefore(run, requestSentNanos)) {
                loseOrStop(run, "the runner reports neither the run nor its end", nowNanos);
            }
        }
    }

    /** Removes a run that its runner does not have; one that the runner may still start has to be stopped there first. */
    private void loseOrStop(Run run, String reason, long nowNanos) {
        if (!run.runner().mayStillStart(run, nowNanos)) {
            runs.lose(run, reason);
            return;
        }
        run.startConfirmed = false;
        run.stopConfirmed = false;
        runs.stop(run);
    }

    /**
     * Records which process of a runner has answered. One that has started since the last answer may still receive starts
     * that its predecessor would reject: the runs are stopped there at once, before the status is applied.
     *
     * @param requestSentNanos when the request was sent that the process has answered
     */
    void processAnswered(FleetRunner runner, long processStartEpochMs, long requestSentNanos, long nowNanos) {
        if (runner.answeringProcessStartEpochMs == processStartEpochMs) {
            return;
        }
        runner.answeringProcessStartEpochMs = processStartEpochMs;
        for (Run run : runner.snapshotOfRuns()) {
            if (run.phase != Run.Phase.STARTING
                    && !startConfirmedSince(run, requestSentNanos)
                    && runner.mayStillStart(run, nowNanos)) {
                run.stopConfirmed = false;
                runs.stop(run);
                pendingStops.sendAgain(runner, run.key());
            }
        }
        stopUnresolvedStarts(runner, nowNanos);
        runner.unansweredStarts.toStop().forEach(start -> pendingStops.sendAgain(runner, start));
    }

    /** Requests that starts which were given up be stopped, so that the runner's process rejects them from now on. */
    private void stopUnresolvedStarts(FleetRunner runner, long nowNanos) {
        runner.unansweredStarts
                .onProcessAnswered(runner.answeringProcessStartEpochMs, runner.runs.keySet(), nowNanos)
                .forEach(start -> pendingStops.removeUnresolvedStart(runner, start));
        runner.unansweredStarts.toStop().forEach(start -> pendingStops.add(runner, start, StopCause.UNRESOLVED_START));
    }

    private void evictStalledRuns(FleetRunner runner, long nowNanos) {
        for (Run run : runner.snapshotOfRuns()) {
            if (StallDetector.isStalled(run, nowNanos)) {
                evictStalled(run, nowNanos);
            }
        }
    }

    /** Returns whether a status requested at {@code requestSentNanos} must contain the run if it still exists. */
    private static boolean confirmedBefore(Run run, long requestSentNanos) {
        if (run.startConfirmed && !startConfirmedSince(run, requestSentNanos)) {
            return true;
        }
        return run.stopConfirmed && requestSentNanos - run.stopConfirmedNanos > 0;
    }

    /** Returns whether the start of a run was confirmed after a request was sent. */
    private static boolean startConfirmedSince(Run run, long requestSentNanos) {
        return run.startConfirmed && requestSentNanos - run.startConfirmedNanos <= 0;
    }

    private void startIncarnation(FleetRunner runner, long processStartEpochMs, long requestSentNanos, long nowNanos) {
        long previousStartEpochMs = runner.processStartEpochMs;
        runner.processStartEpochMs = processStartEpochMs;
        runner.lastProcessedEnd = 0;
        runner.unstoredEnds.clear();
        if (previousStartEpochMs != 0) {
            observer.runnerRestarted(runner, previousStartEpochMs);
            removeRunsOfEarlierIncarnation(runner, requestSentNanos, nowNanos);
        }
    }

    /**
     * Removes the runs whose start was confirmed before the status was requested. Others are kept: the new incarnation may
     * have confirmed them since, or may still receive a start, until it has confirmed that it stops the run.
     */
    private void removeRunsOfEarlierIncarnation(FleetRunner runner, long requestSentNanos, long nowNanos) {
        pendingStops.retainUnknownRuns(runner, Set.of());
        runner.heldRuns.clear();
        runner.orphanedRuns.clear();
        for (Run run : runner.snapshotOfRuns()) {
            if (run.startConfirmed && !startConfirmedSince(run, requestSentNanos)) {
                loseOrStop(run, "the runner restarted", nowNanos);
            }
        }
    }

    private void applyRunning(FleetRunner runner, RunnerStatus.ActiveRun entry, long clockMs, long nowNanos) {
        FleetRunner.RunKey key = new FleetRunner.RunKey(entry.task(), entry.runNumber());
        runner.unansweredStarts.onRunning(key);
        if (jobs.held().contains(entry.task().job())) {
            runner.heldRuns.put(key, entry);
            runner.orphanedRuns.addReported(key, jobs.held().reservation(entry.task()), nowNanos);
            return;
        }
        Run run = runner.find(entry.task(), entry.runNumber());
        if (run == null) {
            run = adoptOrStop(runner, entry, nowNanos);
        }
        if (run == null) {
            return;
        }
        run.reportedAt(clockMs);
        if (run.phase == Run.Phase.STARTING) {
            run.phase = Run.Phase.RUNNING;
            runs.confirmStart(run, nowNanos);
        }
        if (entry.progressPercent() != run.progressPercent) {
            run.progressPercent = entry.progressPercent();
            run.lastProgressNanos = nowNanos;
        }
        run.measurement = entry.measurement();
        run.task().updateCheckpoint(run.number(), entry.checkpoint());
    }

    /** Adopts a run that an earlier leader started; if it must end, has it stopped and returns null. */
    Run adoptOrStop(FleetRunner runner, RunnerStatus.ActiveRun entry, long nowNanos) {
        Run adopted = adopt(runner, entry, nowNanos);
        if (adopted == null) {
            FleetRunner.RunKey key = new FleetRunner.RunKey(entry.task(), entry.runNumber());
            pendingStops.add(runner, key, StopCause.UNKNOWN_RUN);
            runner.orphanedRuns.addReported(key, jobs.reservation(entry.task()), nowNanos);
        }
        return adopted;
    }

    /** Adopts a run that an earlier leader started; returns null if the run must be stopped. */
    private Run adopt(FleetRunner runner, RunnerStatus.ActiveRun entry, long nowNanos) {
        Task task = jobs.findReportedTask(entry.task());
        if (task == null || task.done || task.job().terminalState != null) {
            return null;
        }
        if (!task.runs.isEmpty() && !task.step().speculative()) {
            return null;
        }
        Run run = new Run(task, entry.runNumber(), runner, "", nowNanos);
        run.phase = Run.Phase.RUNNING;
        // How long the task waited before an earlier leader started it is not known.
        task.waiting = false;
        runs.confirmStart(run, nowNanos);
        run.speedPercent = Run.UNKNOWN_SPEED;
        task.lastRunNumber = Math.max(task.lastRunNumber, entry.runNumber());
        task.inheritedRunners.remove(runner.id());
        run.adopted = true;
        pendingStops.remove(runner, run.key());
        runner.orphanedRuns.remove(run.key());
        runner.add(run);
        jobs.updateReadiness(task);
        observer.runAdopted(run);
        return run;
    }

    private void applyEnd(FleetRunner runner, RunnerStatus.EndedRun end, long nowNanos) {
        FleetRunner.RunKey key = new FleetRunner.RunKey(end.task(), end.runNumber());
        runs.onEndListed(runner, key);
        runner.orphanedRuns.remove(key);
        if (jobs.held().contains(end.task().job())) {
            runner.heldRuns.remove(key);
            if (jobs.held().addEnd(end)) {
                observer.runEnded(runner, end, null);
            }
            return;
        }
        Task task = jobs.findReportedTask(end.task());
        Run run = runner.find(end.task(), end.runNumber());
        observer.endProcessed(end.reason());
        if (run != null) {
            runs.endWaiting(run, nowNanos);
            runner.remove(run);
            pendingStops.remove(runner, key);
            if (run.task().job().terminalState == JobState.CANCELLED) {
                observer.cancelledRunEnded(run, nowNanos - run.task().job().terminalNanos);
            }
        }
        if (task == null || task.done || task.job().terminalState != null) {
            if (task != null && run != null) {
                // Later steps wait for the last run of a task that is done.
                jobs.updateReadiness(task);
            }
            return;
        }
        jobs.recordEnd(task, end.runNumber(), end.checkpoint());
        observer.runEnded(runner, end, run);
        switch (end.reason()) {
            case DONE -> applyDone(task, run, runner, nowNanos);
            case FAILED -> applyFailure(task, end.runNumber(), runner, nowNanos);
            default -> jobs.updateReadiness(task);
        }
    }

    private void applyDone(Task task, Run run, FleetRunner runner, long nowNanos) {
        runner.health.recordSuccess();
        if (run != null && run.checkpoint().isEmpty() && run.speedPercent == 100) {
            recordDuration(run, nowNanos);
        }
        if (task.step().longRunning()) {
            jobs.updateReadiness(task);
            return;
        }
        task.endUnknownToEarlierLeaders = run != null && UnreportedRunners.endIsUnknownToEarlierLeaders(run);
        jobs.complete(task);
    }

    private static void recordDuration(Run run, long nowNanos) {
        long estimateMs = run.task().step().estimatedDurationMs();
        if (estimateMs > 0 && !run.task().step().bestEffort()) {
            run.runner().health.recordDuration((nowNanos - run.createdNanos()) / (estimateMs * 1e6));
        }
    }

    private void applyFailure(Task task, long runNumber, FleetRunner runner, long nowNanos) {
        if (task.step().longRunning()) {
            jobs.updateReadiness(task);
            return;
        }
        if (!task.failedRunNumbers.contains(runNumber)) {
            if (task.avoidedRunners.isEmpty()) {
                runner.health.recordFailure(task.job().id(), nowNanos);
            }
            task.avoidedRunners.add(runner.id(), nowNanos);
        }
        jobs.recordFailure(task, runNumber);
    }

    /** Stops a stalled run and makes its task avoid the runner. */
    private void evictStalled(Run run, long nowNanos) {
        run.runner().health.recordStall(nowNanos);
        run.task().avoidedRunners.add(run.runner().id(), nowNanos);
        observer.runEvicted(run, "no progress");
        runs.stop(run);
    }
}
