package org.tamarackline.core.task;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.WorkerId;
import org.tamarackline.core.placement.EvictionPlanner;
import org.tamarackline.core.placement.PlacementPolicy;
import org.tamarackline.core.placement.PlacementRequest;
import org.tamarackline.core.placement.QuotaTracker;
import org.tamarackline.core.placement.WorkerView;

/**
 * One pass of placement over the waiting tasks of a rack. Assigns tasks to workers and counts what it has assigned, so that
 * later choices of the pass see the remaining capacity.
 */
final class PlacementPass {

    /** Most assignments of a pass. More would only wait for later transactions. */
    static final int MAX_ASSIGNMENTS = 200;

    /** Waiting time after which a task may return to a worker on which it failed, if there is no other worker. */
    private static final long SAME_WORKER_DELAY_NANOS = Duration.ofSeconds(30).toNanos();

    private final RackState state;
    private final PendingChanges pendingChanges;
    private final ConfiguredProfiles profiles;
    private final PlacementPolicy policy;
    private final EvictionPlanner evictionPlanner;
    private final WorkerViews workerViews;
    private final Reservations reservations;
    private final Evictions evictions;
    private final QuotaTracker quotaTracker;
    private final long now;
    private final Map<WorkerId, WorkerView> views = new LinkedHashMap<>();
    private final Set<Resources> unplaceableSizes = new HashSet<>();
    private int assignments;

    /**
     * Creates a pass.
     *
     * @param quotaTracker resources that each team occupies at the start of the pass
     * @param now monotonic time of the pass, in nanoseconds
     */
    PlacementPass(PlacementContext context, QuotaTracker quotaTracker, long now) {
        this.state = context.pendingChanges().state();
        this.pendingChanges = context.pendingChanges();
        this.profiles = context.profiles();
        this.policy = context.policy();
        this.evictionPlanner = context.evictionPlanner();
        this.workerViews = context.workerViews();
        this.reservations = context.reservations();
        this.evictions = context.evictions();
        this.quotaTracker = quotaTracker;
        this.now = now;
        state.workers().stream()
                .filter(worker -> workerViews.acceptsTasks(worker, now))
                .forEach(worker -> views.put(worker.id, workerViews.view(worker, Resources.NONE, now)));
    }

    /** Assigns a latency-critical task. If it fits on no worker, evicts tasks and reserves the freed capacity. */
    void placeLatencyCritical(TaskEntry entry) {
        if (tryAssign(entry, List.copyOf(views.values()))) {
            return;
        }
        if (reservations.contains(entry.task())) {
            return;
        }
        List<WorkerView> afterEvictions = views.values().stream()
                .map(view -> withReserved(view, Resources.NONE.minus(resourcesBeingEvictedOn(view.id()))))
                .toList();
        evictionPlanner.planFor(requestFor(entry), afterEvictions).ifPresent(plan -> {
            evictions.apply(plan);
            reservations.add(entry, plan.worker(), now);
        });
    }

    private Resources resourcesBeingEvictedOn(WorkerId worker) {
        return state.worker(worker).map(workerViews::resourcesBeingEvicted).orElse(Resources.NONE);
    }

    /** Returns the view with {@code adjustment} and the reservations for latency-critical tasks counted as occupied. */
    private WorkerView withReserved(WorkerView view, Resources adjustment) {
        Resources reserved = adjustment.plus(reservations.on(view.id()));
        return new WorkerView(view.id(), view.capacity(), view.occupied().plus(reserved), view.running());
    }

    /** Assigns tasks that are not latency-critical, one at a time. The next task is always that of the team served next. */
    void placeByTeam(List<TaskEntry> waiting) {
        Map<TeamName, Deque<TaskEntry>> queues = new HashMap<>();
        waiting.stream()
                .sorted(Comparator.comparingInt(
                                (TaskEntry entry) -> -profiles.profileOf(entry).priority())
                        .thenComparingLong(entry -> entry.waitingSinceNanos))
                .forEach(entry -> queues.computeIfAbsent(entry.row.spec().team(), team -> new ArrayDeque<>())
                        .add(entry));
        while (!queues.isEmpty() && assignments < MAX_ASSIGNMENTS) {
            TeamName next = nextTeam(queues);
            Deque<TaskEntry> queue = queues.get(next);
            placeOther(queue.remove());
            if (queue.isEmpty()) {
                queues.remove(next);
            }
        }
    }

    private TeamName nextTeam(Map<TeamName, Deque<TaskEntry>> queues) {
        return queues.entrySet().stream()
                .min(Comparator.<Map.Entry<TeamName, Deque<TaskEntry>>>comparingInt(
                                entry -> isWithinGuarantee(entry.getValue().element()) ? 0 : 1)
                        .thenComparingInt(entry ->
                                -profiles.profileOf(entry.getValue().element()).priority())
                        .thenComparingDouble(entry -> quotaTracker.dominantShare(entry.getKey()))
                        .thenComparing(entry -> entry.getKey().value()))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    private boolean isWithinGuarantee(TaskEntry entry) {
        return quotaTracker.isWithinGuarantee(entry.row.spec().team(), entry.size());
    }

    private void placeOther(TaskEntry entry) {
        boolean neverFailed = entry.row.failedOn().isEmpty();
        if (neverFailed && unplaceableSizes.contains(entry.size())) {
            return;
        }
        List<WorkerView> reserved = views.values().stream()
                .map(view -> withReserved(view, Resources.NONE))
                .toList();
        if (!tryAssign(entry, reserved) && neverFailed) {
            unplaceableSizes.add(entry.size());
        }
    }

    private boolean tryAssign(TaskEntry entry, List<WorkerView> candidates) {
        Optional<WorkerId> choice = policy.choose(requestFor(entry), candidates);
        choice.ifPresent(worker -> assign(entry, worker));
        return choice.isPresent();
    }

    private void assign(TaskEntry entry, WorkerId worker) {
        pendingChanges.propose(entry, new TaskEvent.Assigned(worker), TaskEntry.FollowUp.NONE);
        reservations.remove(entry.task());
        quotaTracker.add(entry.row.spec().team(), entry.size());
        assignments++;
        WorkerEntry chosen = state.worker(worker).orElseThrow();
        if (chosen.health.isQuarantined()) {
            views.remove(worker);
        } else {
            views.put(worker, workerViews.view(chosen, Resources.NONE, now));
        }
    }

    private PlacementRequest requestFor(TaskEntry entry) {
        Set<WorkerId> excludedWorkers = new HashSet<>();
        boolean failedOnAllWorkers = entry.row.failedOn().containsAll(views.keySet());
        boolean waitedLong = now - entry.waitingSinceNanos >= SAME_WORKER_DELAY_NANOS;
        if (!failedOnAllWorkers || !waitedLong) {
            excludedWorkers.addAll(entry.row.failedOn());
        }
        for (WorkerEntry worker : state.workers()) {
            boolean hasStaleAttempt = worker.staleAttempt(entry.task()).isPresent();
            boolean riskyProbe = worker.health.isQuarantined() && profiles.isLatencyCritical(entry);
            if (hasStaleAttempt || riskyProbe) {
                excludedWorkers.add(worker.id);
            }
        }
        return new PlacementRequest(entry.task(), entry.size(), profiles.profileOf(entry), excludedWorkers);
    }
}
