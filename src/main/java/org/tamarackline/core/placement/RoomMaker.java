package org.tamarackline.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.Profile;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;

/**
 * Chooses the tasks that give way, those with the least work at risk first.
 *
 * <p>Only tasks of a lower priority whose profile allows checkpoints are evicted. Plans that have to finish by a time or at
 * a rate keep a part of their tasks running, so that urgent work cannot stop them altogether.
 */
public final class RoomMaker {

    /** Part of the tasks of rate-bound plans that no eviction touches, in percent. */
    static final int PLAN_FLOOR_PERCENT = 25;

    /** Returns the cheapest way to fit {@code demand}, empty if no worker can make enough room. */
    public Optional<RoomPlan> makeRoom(Demand demand, List<WorkerView> workers) {
        int planBudget = planBudget(workers);
        return workers.stream()
                .filter(worker -> !demand.avoid().contains(worker.id()))
                .filter(worker -> demand.size().fitsIn(worker.capacity()))
                .flatMap(worker ->
                        victims(worker, demand.size(), demand.profile().priority(), planBudget)
                                .map(victims -> new Candidate(worker, victims))
                                .stream())
                .min(Comparator.comparingLong(Candidate::unsavedWorkMs)
                        .thenComparing(candidate -> candidate.worker().id()))
                .map(Candidate::plan);
    }

    /**
     * Returns how a worker whose capacity shrank gets back within it, empty if nothing has to be done or can be.
     *
     * @param throttled whether its tasks have been throttled for long enough already
     */
    public Optional<RoomPlan> shrink(WorkerView worker, boolean throttled) {
        Resources free = worker.free();
        if (Resources.NONE.fitsIn(free)) {
            return Optional.empty();
        }
        boolean onlyProcessors = free.memoryMb() >= 0 && free.accelerators() >= 0;
        if (onlyProcessors && !throttled) {
            return throttleAll(worker);
        }
        return victims(worker, Resources.NONE, Integer.MAX_VALUE, Integer.MAX_VALUE)
                .map(victims -> new Candidate(worker, victims).plan());
    }

    private static Optional<RoomPlan> throttleAll(WorkerView worker) {
        List<TaskId> throttled = worker.running().stream()
                .filter(task -> task.profile().checkpointAllowed())
                .map(RunningTask::task)
                .toList();
        return throttled.isEmpty() ? Optional.empty() : Optional.of(new RoomPlan(worker.id(), throttled, List.of()));
    }

    private static Optional<List<RunningTask>> victims(
            WorkerView worker, Resources size, int priority, int planBudget) {
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
        int plansLeft = planBudget;
        for (RunningTask candidate : candidates) {
            if (size.fitsIn(free)) {
                break;
            }
            boolean plan = isPlan(candidate.profile());
            if (plan && plansLeft == 0) {
                continue;
            }
            plansLeft -= plan ? 1 : 0;
            chosen.add(candidate);
            free = free.plus(candidate.size());
        }
        return size.fitsIn(free) ? Optional.of(chosen) : Optional.empty();
    }

    private static int planBudget(List<WorkerView> workers) {
        long plans = workers.stream()
                .flatMap(worker -> worker.running().stream())
                .filter(task -> isPlan(task.profile()))
                .count();
        return (int) (plans - plans * PLAN_FLOOR_PERCENT / 100);
    }

    private static boolean isPlan(Profile profile) {
        return profile.ratePerHour() > 0 || profile.finishWithinMs() > 0;
    }

    private record Candidate(WorkerView worker, List<RunningTask> victims) {

        long unsavedWorkMs() {
            return victims.stream().mapToLong(RunningTask::unsavedWorkMs).sum();
        }

        RoomPlan plan() {
            return new RoomPlan(
                    worker.id(),
                    List.of(),
                    victims.stream().map(RunningTask::task).toList());
        }
    }
}
