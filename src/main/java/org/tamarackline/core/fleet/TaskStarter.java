package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Assigns ready tasks to runners, the most urgent first. */
final class TaskStarter {

    private final JobTracker jobs;
    private final RunnerSelector runnerSelector;
    private final UnreportedRunners unreportedRunners;
    private final Collection<FleetRunner> runners;
    private final long highestEarlierRunNumber;

    /**
     * Creates a starter.
     *
     * @param runners live view of all runners
     * @param highestEarlierRunNumber highest run number that earlier leaders may have used
     */
    TaskStarter(
            JobTracker jobs,
            RunnerSelector runnerSelector,
            UnreportedRunners unreportedRunners,
            Collection<FleetRunner> runners,
            long highestEarlierRunNumber) {
        this.jobs = jobs;
        this.runnerSelector = runnerSelector;
        this.unreportedRunners = unreportedRunners;
        this.runners = runners;
        this.highestEarlierRunNumber = highestEarlierRunNumber;
    }

    /**
     * Returns the new runs; their tasks are no longer ready.
     *
     * @param maxStarts maximum number of tasks to start; a gang may exceed it
     */
    List<Run> start(int maxStarts, long nowNanos, long nowEpochMs) {
        List<Run> allStarted = new ArrayList<>();
        if (maxStarts <= 0) {
            return allStarted;
        }
        runnerSelector.clearCache();
        ReadyTasks.Scan scan = jobs.readyTasks().scan(nowEpochMs);
        while (allStarted.size() < maxStarts && scan.hasNext()) {
            Task task = scan.next();
            if (unreportedRunners.mayHaveRunOf(task)) {
                continue;
            }
            List<Run> started = task.step().gang() ? startGang(task, nowNanos) : startOne(task, nowNanos);
            if (started.isEmpty() && (task.step().gang() || task.avoidedRunners.isEmpty())) {
                scan.skipStep(task);
            }
            started.forEach(run -> jobs.readyTasks().remove(run.task()));
            allStarted.addAll(started);
        }
        return allStarted;
    }

    private List<Run> startOne(Task task, long nowNanos) {
        FleetRunner runner = runnerSelector.select(task, runners, task.step().preferredRack(), nowNanos);
        return runner == null
                ? List.of()
                : List.of(addRun(task, runner, nextRunNumber(task), task.checkpoint, nowNanos));
    }

    /** Starts all members of a gang with the same run number, or none. */
    private List<Run> startGang(Task first, long nowNanos) {
        Task[] members = first.job().gangOf(first);
        long runNumber = 0;
        String checkpoint = "";
        for (Task member : members) {
            if (!member.runs.isEmpty() || member.done || unreportedRunners.mayHaveRunOf(member)) {
                return List.of();
            }
            runNumber = Math.max(runNumber, nextRunNumber(member));
            checkpoint = checkpoint.compareTo(member.checkpoint) >= 0 ? checkpoint : member.checkpoint;
        }
        List<Run> started = new ArrayList<>();
        String rack = first.step().preferredRack();
        for (Task member : members) {
            FleetRunner runner = runnerSelector.select(member, runners, rack, nowNanos);
            if (runner == null) {
                started.forEach(this::removeRun);
                return List.of();
            }
            if (first.step().sameRack() && rack.isEmpty()) {
                rack = runner.descriptor().rack();
            }
            started.add(addRun(member, runner, runNumber, checkpoint, nowNanos));
        }
        return started;
    }

    private Run addRun(Task task, FleetRunner runner, long runNumber, String checkpoint, long nowNanos) {
        task.lastRunNumber = runNumber;
        task.inheritedRunners.clear();
        Run run = new Run(task, runNumber, runner, checkpoint, nowNanos);
        runner.add(run);
        runnerSelector.invalidate(runner);
        return run;
    }

    private void removeRun(Run run) {
        run.runner().remove(run);
        runnerSelector.invalidate(run.runner());
    }

    private long nextRunNumber(Task task) {
        return Math.max(task.lastRunNumber, highestEarlierRunNumber) + 1;
    }
}
