package org.tamarackline.core.fleet;

import java.util.List;

/** The transitions of runs that statuses, commands and decisions of the leader have in common. */
final class RunLifecycle {

    private final JobTracker jobs;
    private final PendingStarts pendingStarts;
    private final PendingStops pendingStops;
    private final FleetObserver observer;

    RunLifecycle(JobTracker jobs, PendingStarts pendingStarts, PendingStops pendingStops, FleetObserver observer) {
        this.jobs = jobs;
        this.pendingStarts = pendingStarts;
        this.pendingStops = pendingStops;
        this.observer = observer;
    }

    /**
     * Records that the runner's process has confirmed a stop and rejects the start of the run from now on; returns whether
     * that start was given up and might have taken effect before.
     */
    boolean onStopConfirmed(FleetRunner runner, FleetRunner.RunKey run) {
        boolean unresolved = runner.unansweredStarts.onRejectedBy(run, runner.answeringProcessStartEpochMs);
        if (unresolved) {
            pendingStops.removeUnresolvedStart(runner, run);
        }
        return unresolved;
    }

    /** Records that the runner's process has listed the end of a run, and does not start it again. */
    void onEndListed(FleetRunner runner, FleetRunner.RunKey run) {
        if (runner.unansweredStarts.onEnded(run, runner.answeringProcessStartEpochMs)) {
            pendingStops.removeUnresolvedStart(runner, run);
        }
    }

    /** Records that a run exists on its runner, so that a status requested later must contain it. */
    void confirmStart(Run run, long nowNanos) {
        endWaiting(run, nowNanos);
        if (!run.startConfirmed) {
            run.startConfirmed = true;
            run.startConfirmedNanos = nowNanos;
            run.task().job().started = true;
        }
    }

    /** Reports how long the task of a run that exists on its runner waited, unless that was reported before. */
    void endWaiting(Run run, long nowNanos) {
        Task task = run.task();
        if (task.waiting) {
            task.waiting = false;
            observer.taskStarted(nowNanos - task.waitingSinceNanos);
        }
    }

    /** Stops all runs of a task. */
    void stopAll(Task task) {
        List.copyOf(task.runs).forEach(this::stop);
    }

    /** Stops a run, or removes it if its start was not sent yet. */
    void stop(Run run) {
        if (pendingStarts.contains(run)) {
            remove(run);
            return;
        }
        run.phase = Run.Phase.STOPPING;
        pendingStops.add(run.runner(), run.key(), StopCause.KNOWN_RUN);
    }

    /** Removes a run whose end no runner reported. */
    void lose(Run run, String reason) {
        observer.runLost(run, reason);
        remove(run);
    }

    /** Removes a run that can no longer exist; its task becomes ready again. */
    void remove(Run run) {
        run.runner().remove(run);
        pendingStops.remove(run.runner(), run.key());
        pendingStarts.remove(run);
        if (run.task().step().longRunning() && run.task().job().terminalState == null) {
            jobs.markDirty(run.task().job());
        }
        jobs.updateReadiness(run.task());
    }

    /** Removes the runs on a runner whose start was not sent yet, so that their tasks start elsewhere. */
    void removeUnsent(FleetRunner runner) {
        for (Run run : runner.snapshotOfRuns()) {
            if (pendingStarts.contains(run)) {
                remove(run);
            }
        }
    }
}
