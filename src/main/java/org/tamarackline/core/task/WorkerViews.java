package org.tamarackline.core.task;

import java.time.Duration;
import java.util.List;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.placement.ResourceShares;
import org.tamarackline.core.placement.RunningTask;
import org.tamarackline.core.placement.WorkerView;

/** Summarises the workers of a rack for placement and for other nodes: capacity, occupied resources and evictable tasks. */
final class WorkerViews {

    private static final long EVICTION_COOLDOWN_NANOS = Duration.ofSeconds(60).toNanos();

    private final RackState state;
    private final ConfiguredProfiles profiles;

    WorkerViews(RackState state, ConfiguredProfiles profiles) {
        this.state = state;
        this.profiles = profiles;
    }

    /** Returns whether the task may be evicted now. */
    boolean isEvictable(TaskEntry entry, long now) {
        boolean recently = entry.evictedAtNanos
                .map(evicted -> now - evicted < EVICTION_COOLDOWN_NANOS)
                .orElse(false);
        return entry.row.state() == TaskState.RUNNING
                && entry.acceptsChange()
                && entry.pendingCommand == TaskEntry.PendingCommand.NONE
                && !recently;
    }

    /** Returns the resources of the worker's tasks that are being evicted. */
    Resources resourcesBeingEvicted(WorkerEntry worker) {
        return state.tasksOn(worker.id).stream()
                .filter(WorkerViews::isBeingEvicted)
                .map(TaskEntry::size)
                .reduce(Resources.NONE, Resources::plus);
    }

    private static boolean isBeingEvicted(TaskEntry entry) {
        boolean evictionPending = entry.pendingChange
                .map(pending -> pending.change().to().state() == TaskState.EVICTING)
                .orElse(false);
        return evictionPending || entry.row.state() == TaskState.EVICTING;
    }

    /** Returns the view of the worker for placement, with {@code reserved} counted as occupied. */
    WorkerView view(WorkerEntry worker, Resources reserved, long now) {
        List<RunningTask> running = state.tasksOn(worker.id).stream()
                .map(entry -> new RunningTask(
                        entry.task(),
                        entry.size(),
                        profiles.profileOf(entry),
                        Math.max(0, entry.workDoneMs - entry.savedWorkMs),
                        isEvictable(entry, now)))
                .toList();
        Resources occupied = state.occupied(worker).plus(reserved);
        return new WorkerView(worker.id, worker.capacity, occupied, running);
    }

    /** Returns whether the worker may be given new tasks. */
    boolean acceptsTasks(WorkerEntry worker, long now) {
        boolean startsPending =
                state.tasksOn(worker.id).stream().anyMatch(entry -> entry.row.state() != TaskState.RUNNING);
        return worker.listed
                && !worker.draining
                && worker.acceptsStarts()
                && now >= worker.noTasksUntilNanos
                && worker.health.acceptsTask(startsPending, now);
    }

    /** Returns the capacity and the load of the rack. */
    RackLoad load() {
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        Resources largestFree = Resources.NONE;
        Resources largestWorker = Resources.NONE;
        boolean complete = state.areWorkersKnown();
        for (WorkerEntry worker : state.workers()) {
            if (!worker.listed || worker.draining) {
                continue;
            }
            complete = complete && worker.hasResponded;
            largestWorker = largestWorker.max(worker.capacity);
            if (worker.silent || worker.health.isQuarantined()) {
                continue;
            }
            Resources freeOnWorker = freeForOtherTasks(worker);
            capacity = capacity.plus(worker.capacity);
            free = free.plus(freeOnWorker.max(Resources.NONE));
            largestFree = withMoreProcessors(largestFree, freeOnWorker);
        }
        int waiting = (int) state.unfinished().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING)
                .count();
        return new RackLoad(capacity, free, largestFree, largestWorker, waiting, complete);
    }

    /** An empty worker counts in full, because a task that needs nearly a whole worker may use its reserve too. */
    private Resources freeForOtherTasks(WorkerEntry worker) {
        Resources occupied = state.occupied(worker);
        boolean empty = occupied.equals(Resources.NONE);
        return empty
                ? worker.capacity
                : ResourceShares.withoutReserve(worker.capacity).minus(occupied);
    }

    private static Resources withMoreProcessors(Resources first, Resources second) {
        return first.processorMillis() >= second.processorMillis() ? first : second;
    }
}
