package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Finds the long-running tasks that have waited for long, and what they wait for. Changes nothing. */
public final class LongRunningWaits {

    private final JobTracker jobs;
    private final PendingStarts pendingStarts;
    private final UnreportedRunners unreportedRunners;
    private final Collection<FleetRunner> runners;
    /** Not the one of the scheduling rounds, whose cached budgets must not depend on when this class is used. */
    private final RunnerSelector runnerSelector;

    /**
     * Result of a search.
     *
     * @param count number of all tasks that have waited for long
     * @param longest those that have waited longest
     */
    public record Found(int count, List<LongRunningWait> longest) {

        /** Copies the list, so that later changes to it do not affect the record. */
        public Found {
            longest = List.copyOf(longest);
        }
    }

    LongRunningWaits(
            JobTracker jobs,
            PendingStarts pendingStarts,
            UnreportedRunners unreportedRunners,
            Collection<FleetRunner> runners,
            InterferenceModel interference) {
        this.jobs = jobs;
        this.pendingStarts = pendingStarts;
        this.unreportedRunners = unreportedRunners;
        this.runners = runners;
        this.runnerSelector = new RunnerSelector(interference);
    }

    /**
     * Finds the tasks that have been ready for more than {@code minNanos} without a confirmed run.
     *
     * @param limit maximum number of tasks whose cause is determined
     */
    public Found find(long minNanos, int limit, long nowNanos) {
        Set<Task> waiting = new LinkedHashSet<>();
        for (Task task : jobs.readyTasks().all()) {
            addIfWaiting(task, minNanos, nowNanos, waiting);
        }
        for (FleetRunner runner : runners) {
            for (Run run : runner.runs.values()) {
                addIfWaiting(run.task(), minNanos, nowNanos, waiting);
            }
        }
        runnerSelector.clearCache();
        List<LongRunningWait> longest = waiting.stream()
                .sorted(Comparator.comparingLong(task -> task.waitingSinceNanos - nowNanos))
                .limit(limit)
                .map(task -> describe(task, nowNanos))
                .toList();
        return new Found(waiting.size(), longest);
    }

    private static void addIfWaiting(Task task, long minNanos, long nowNanos, Set<Task> waiting) {
        if (task.step().longRunning() && task.waiting && nowNanos - task.waitingSinceNanos > minNanos) {
            waiting.add(task);
        }
    }

    private LongRunningWait describe(Task task, long nowNanos) {
        long waitedNanos = nowNanos - task.waitingSinceNanos;
        if (!task.runs.isEmpty()) {
            Run run = task.runs.getFirst();
            return new LongRunningWait(
                    task.key(), waitedNanos, causeOf(run), List.of(run.runner().id()));
        }
        if (unreportedRunners.mayHaveRunOf(task)) {
            List<String> unreported = task.inheritedRunners.stream()
                    .filter(unreportedRunners::contains)
                    .sorted()
                    .toList();
            return new LongRunningWait(task.key(), waitedNanos, LongRunningWait.Cause.UNREPORTED_RUNNERS, unreported);
        }
        return new LongRunningWait(task.key(), waitedNanos, causeOfNoPlacement(task, nowNanos), List.of());
    }

    private LongRunningWait.Cause causeOf(Run run) {
        if (pendingStarts.stored().contains(run)) {
            return LongRunningWait.Cause.START_NOT_SENT;
        }
        if (pendingStarts.contains(run)) {
            boolean rejected = jobs.isIsolated(run.task().job().id());
            return rejected ? LongRunningWait.Cause.PLACEMENT_REJECTED : LongRunningWait.Cause.PLACEMENT_NOT_STORED;
        }
        return run.phase == Run.Phase.STOPPING
                ? LongRunningWait.Cause.STOP_UNCONFIRMED
                : LongRunningWait.Cause.START_UNANSWERED;
    }

    private LongRunningWait.Cause causeOfNoPlacement(Task task, long nowNanos) {
        if (runnerSelector.select(task, runners, task.step().preferredRack(), nowNanos) == null) {
            return LongRunningWait.Cause.NO_ROOM;
        }
        return task.step().gang() ? LongRunningWait.Cause.GANG : LongRunningWait.Cause.NOT_PLACED;
    }
}
