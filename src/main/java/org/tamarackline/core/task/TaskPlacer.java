package org.tamarackline.core.task;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.placement.EvictionPlanner;
import org.tamarackline.core.placement.PlacementPolicy;
import org.tamarackline.core.placement.QuotaTracker;
import org.tamarackline.core.placement.ResourceShares;
import org.tamarackline.core.placement.WorkerView;
import org.tamarackline.core.time.MonotonicClock;

/**
 * Places the waiting tasks of a rack: latency-critical ones first, then the others by team. Evicts tasks of lower priority if
 * a latency-critical task does not fit.
 *
 * <p>Also parks and unparks tasks, empties workers that are leaving, and reduces the load of workers whose capacity shrank.
 */
final class TaskPlacer {

    /** Time for which the tasks of an overcommitted worker are throttled before some of them are evicted. */
    private static final long MAX_THROTTLE_NANOS = Duration.ofSeconds(5).toNanos();

    private final RackState state;
    private final PendingChanges pendingChanges;
    private final MonotonicClock clock;
    private final EvictionPlanner evictionPlanner;
    private final ConfiguredProfiles profiles;
    private final WorkerViews workerViews;
    private final Reservations reservations;
    private final Evictions evictions;
    private final PlacementContext context;
    private Resources clusterCapacity = Resources.NONE;

    TaskPlacer(
            PendingChanges pendingChanges,
            ConfiguredProfiles profiles,
            MonotonicClock clock,
            PlacementPolicy policy,
            EvictionPlanner evictionPlanner) {
        this.state = pendingChanges.state();
        this.pendingChanges = pendingChanges;
        this.profiles = profiles;
        this.clock = clock;
        this.evictionPlanner = evictionPlanner;
        this.workerViews = new WorkerViews(state, profiles);
        this.reservations = new Reservations(state);
        this.evictions = new Evictions(pendingChanges);
        this.context = new PlacementContext(
                pendingChanges, profiles, policy, evictionPlanner, workerViews, reservations, evictions);
    }

    /** Sets the capacity of all racks, to which the guarantees of teams refer. */
    void setClusterCapacity(Resources capacity) {
        clusterCapacity = capacity;
    }

    /** Makes the decisions that are due now. */
    void run() {
        long now = clock.nowNanos();
        reservations.removeObsolete(now);
        unparkAfterChange();
        parkTasksOfRetiredTeams();
        drainWorkers(now);
        relieveOvercommittedWorkers(now);
        place(now);
    }

    private void unparkAfterChange() {
        Resources largest = workerViews.load().largestWorker();
        state.unfinished().stream()
                .filter(entry -> entry.row.state() == TaskState.PARKED && entry.acceptsChange())
                .filter(entry -> mayRunAgain(entry, largest))
                .forEach(entry -> pendingChanges.propose(entry, new TaskEvent.Unparked(), TaskEntry.FollowUp.NONE));
    }

    private boolean mayRunAgain(TaskEntry entry, Resources largest) {
        return switch (entry.row.parkReason().orElseThrow()) {
            case FITS_NOWHERE -> entry.size().fitsIn(largest);
            case TEAM_RETIRED -> profiles.isTeamKnown(entry);
            // The command itself fails. Only the caller can correct it, by submitting a new job.
            case POISON -> false;
        };
    }

    private void parkTasksOfRetiredTeams() {
        state.unfinished().stream()
                .filter(entry ->
                        entry.row.state() == TaskState.PENDING && entry.acceptsChange() && !profiles.isTeamKnown(entry))
                .forEach(entry -> pendingChanges.propose(
                        entry, new TaskEvent.Parked(ParkReason.TEAM_RETIRED), TaskEntry.FollowUp.NONE));
    }

    private void drainWorkers(long now) {
        state.workers().stream()
                .filter(worker -> worker.draining)
                .flatMap(worker -> state.tasksOn(worker.id).stream())
                .filter(entry -> workerViews.isEvictable(entry, now)
                        && profiles.profileOf(entry).checkpointAllowed())
                .forEach(evictions::beginEviction);
    }

    private void relieveOvercommittedWorkers(long now) {
        for (WorkerEntry worker : state.workers()) {
            WorkerView view = workerViews.view(worker, Resources.NONE, now);
            boolean fits = view.occupied().fitsIn(view.capacity()) || !worker.hasResponded;
            if (fits) {
                worker.overCapacitySinceNanos = Optional.empty();
                state.tasksOn(worker.id).forEach(entry -> entry.targetSpeedPercent = TaskEntry.UNTHROTTLED_PERCENT);
                continue;
            }
            long since = worker.overCapacitySinceNanos.orElse(now);
            worker.overCapacitySinceNanos = Optional.of(since);
            Resources beingEvicted = workerViews.resourcesBeingEvicted(worker);
            WorkerView afterEvictions = workerViews.view(worker, Resources.NONE.minus(beingEvicted), now);
            boolean throttledLongEnough = now - since >= MAX_THROTTLE_NANOS;
            evictionPlanner
                    .planForReducedCapacity(afterEvictions, throttledLongEnough)
                    .ifPresent(evictions::apply);
        }
    }

    private void place(long now) {
        List<TaskEntry> waiting = state.unfinished().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING && entry.acceptsChange())
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        PlacementPass pass = new PlacementPass(context, newQuotaTracker(), now);
        waiting.stream()
                .filter(profiles::isLatencyCritical)
                .sorted(Comparator.comparingLong(entry -> entry.waitingSinceNanos))
                .limit(PlacementPass.MAX_ASSIGNMENTS)
                .forEach(pass::placeLatencyCritical);
        pass.placeByTeam(waiting.stream()
                .filter(entry -> !profiles.isLatencyCritical(entry))
                .toList());
    }

    private QuotaTracker newQuotaTracker() {
        Resources total = workerViews.load().capacity();
        QuotaTracker tracker = new QuotaTracker(total, localGuarantees());
        state.unfinished().stream()
                .filter(entry -> entry.row.state().isOnWorker())
                .forEach(entry -> tracker.add(entry.row.spec().team(), entry.size()));
        return tracker;
    }

    /** Returns the part of each guarantee that applies to this rack, in proportion to its share of the total capacity. */
    private List<TeamQuota> localGuarantees() {
        Resources rackCapacity = workerViews.load().capacity();
        Resources totalCapacity = clusterCapacity.max(rackCapacity);
        return profiles.configuration().teams().stream()
                .map(quota -> new TeamQuota(
                        quota.team(), ResourceShares.scale(quota.guaranteed(), rackCapacity, totalCapacity)))
                .toList();
    }

    /** Returns the capacity and the load of the rack. */
    RackLoad load() {
        return workerViews.load();
    }
}
