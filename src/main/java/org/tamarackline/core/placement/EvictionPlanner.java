package org.tamarackline.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.Profile;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;

/**
 * Chooses the tasks to evict or throttle when a latency-critical task does not fit or the capacity of a worker shrank.
 *
 * <p>Only tasks whose profile allows checkpoints are evicted, for a new task only those of lower priority. Tasks with the
 * lowest priority and then the least unsaved work go first. A plan for a new task leaves a part of the tasks running that
 * have to finish within a time or at a rate, so that latency-critical work cannot stop them all.
 */
public final class EvictionPlanner {

    /** Percentage of the tasks with a completion target that a plan for a new task leaves running. */
    static final int PROTECTED_TARGET_TASKS_PERCENT = 25;

    /** Returns the evictions with the least unsaved work that make the task fit on a worker, empty if there are none. */
    public Optional<EvictionPlan> planFor(PlacementRequest request, List<WorkerView> workers) {
        int targetTaskBudget = targetTaskBudget(workers);
        return workers.stream()
                .filter(worker -> !request.excludedWorkers().contains(worker.id()))
                .filter(worker -> request.size().fitsIn(worker.capacity()))
                .flatMap(worker ->
                        victims(worker, request.size(), request.profile().priority(), targetTaskBudget)
                                .map(victims -> new Candidate(worker, victims))
                                .stream())
                .min(Comparator.comparingLong(Candidate::unsavedWorkMs)
                        .thenComparing(candidate -> candidate.worker().id()))
                .map(Candidate::plan);
    }

    /**
     * Returns the plan by which the tasks of a worker fit into its reduced capacity again. Empty if they fit, or if too little
     * can be evicted.
     *
     * @param throttledLongEnough whether throttling was given enough time, so that tasks have to be evicted
     */
    public Optional<EvictionPlan> planForReducedCapacity(WorkerView worker, boolean throttledLongEnough) {
        Resources free = worker.free();
        if (Resources.NONE.fitsIn(free)) {
            return Optional.empty();
        }
        boolean onlyProcessors = free.memoryMb() >= 0 && free.accelerators() >= 0;
        if (onlyProcessors && !throttledLongEnough) {
            return throttleAll(worker);
        }
        return victims(worker, Resources.NONE, Integer.MAX_VALUE, Integer.MAX_VALUE)
                .map(victims -> new Candidate(worker, victims).plan());
    }

    private static Optional<EvictionPlan> throttleAll(WorkerView worker) {
        List<TaskId> throttled = worker.running().stream()
                .filter(task -> task.profile().checkpointAllowed())
                .map(RunningTask::task)
                .toList();
        return throttled.isEmpty()
                ? Optional.empty()
                : Optional.of(new EvictionPlan(worker.id(), throttled, List.of()));
    }

    private static Optional<List<RunningTask>> victims(
            WorkerView worker, Resources size, int priority, int targetTaskBudget) {
        List<RunningTask> candidates = worker.running().stream()
                .filter(RunningTask::evictable)
                .filter(task -> task.profile().checkpointAllowed())
                .filter(task -> task.profile().priority() < priority)
                .sorted(Comparator.comparingInt(
                                (RunningTask task) -> task.profile().priority())
                        .thenComparingLong(RunningTask::unsavedWorkMs)
                        .thenComparing(task -> task.task().toString()))
                .toList();
        List<RunningTask> chosen = new ArrayList<>();
        Resources free = worker.free();
        int targetTasksLeft = targetTaskBudget;
        for (RunningTask candidate : candidates) {
            if (size.fitsIn(free)) {
                break;
            }
            boolean targetTask = hasCompletionTarget(candidate.profile());
            if (targetTask && targetTasksLeft == 0) {
                continue;
            }
            targetTasksLeft -= targetTask ? 1 : 0;
            chosen.add(candidate);
            free = free.plus(candidate.size());
        }
        return size.fitsIn(free) ? Optional.of(chosen) : Optional.empty();
    }

    private static int targetTaskBudget(List<WorkerView> workers) {
        long targetTasks = workers.stream()
                .flatMap(worker -> worker.running().stream())
                .filter(task -> hasCompletionTarget(task.profile()))
                .count();
        return (int) (targetTasks - targetTasks * PROTECTED_TARGET_TASKS_PERCENT / 100);
    }

    private static boolean hasCompletionTarget(Profile profile) {
        return profile.ratePerHour() > 0 || profile.finishWithinMs() > 0;
    }

    private record Candidate(WorkerView worker, List<RunningTask> victims) {

        long unsavedWorkMs() {
            return victims.stream().mapToLong(RunningTask::unsavedWorkMs).sum();
        }

        EvictionPlan plan() {
            return new EvictionPlan(
                    worker.id(),
                    List.of(),
                    victims.stream().map(RunningTask::task).toList());
        }
    }
}
