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

import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.WorkerId;
import org.tamarackline.core.placement.Demand;
import org.tamarackline.core.placement.PlacementPolicy;
import org.tamarackline.core.placement.QuotaLedger;
import org.tamarackline.core.placement.RoomMaker;
import org.tamarackline.core.placement.RoomPlan;
import org.tamarackline.core.placement.RunningTask;
import org.tamarackline.core.placement.Shares;
import org.tamarackline.core.placement.WorkerView;
import org.tamarackline.core.time.MonotonicClock;

/** Places waiting tasks: urgent ones first, then team by team. Makes room for urgent tasks that do not fit. */
final class PlacementRound {

    /** Assignments of one round; more would only wait for the next transactions. */
    private static final int MAX_ASSIGNMENTS = 200;

    /** Time after which a task returns to a worker on which it failed, if there is no other. */
    private static final long SAME_WORKER_PAUSE_NANOS = Duration.ofSeconds(30).toNanos();

    private static final long EVICTION_PAUSE_NANOS = Duration.ofSeconds(60).toNanos();
    private static final long RESERVATION_NANOS = Duration.ofSeconds(8).toNanos();
    private static final long THROTTLE_PATIENCE_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int THROTTLED_PERCENT = 50;

    private final RackState state;
    private final Proposals proposals;
    private final MonotonicClock clock;
    private final PlacementPolicy policy;
    private final RoomMaker roomMaker;
    private final ProfileBook profiles;
    private final Map<TaskId, Reservation> reservations = new HashMap<>();
    private Resources clusterCapacity = Resources.NONE;

    PlacementRound(
            Proposals proposals,
            ProfileBook profiles,
            MonotonicClock clock,
            PlacementPolicy policy,
            RoomMaker roomMaker) {
        this.state = proposals.state();
        this.proposals = proposals;
        this.profiles = profiles;
        this.clock = clock;
        this.policy = policy;
        this.roomMaker = roomMaker;
    }

    /** Room that is being made for an urgent task. */
    private record Reservation(WorkerId worker, Resources size, long untilNanos) {}

    /** Tells the capacity that the guarantees of the teams are a part of. */
    void setClusterCapacity(Resources capacity) {
        clusterCapacity = capacity;
    }

    /** Makes the decisions of one round. */
    void run() {
        long now = clock.nowNanos();
        reservations.entrySet().removeIf(entry -> isSettled(entry.getKey(), entry.getValue(), now));
        unparkAfterChange();
        parkTasksOfRetiredTeams();
        drainClosedWorkers(now);
        shrinkOvercommitted(now);
        place(now);
    }

    private boolean isSettled(TaskId task, Reservation reservation, long now) {
        boolean waiting = state.task(task)
                .map(entry -> entry.row.state() == TaskState.PENDING && entry.isIdle())
                .orElse(false);
        return !waiting || now >= reservation.untilNanos();
    }

    private void unparkAfterChange() {
        Resources largest = load().largestWorker();
        state.live().stream()
                .filter(entry -> entry.row.state() == TaskState.PARKED && entry.isIdle())
                .filter(entry -> mayRunAgain(entry, largest))
                .forEach(entry -> proposals.propose(entry, new TaskEvent.Unparked(), TaskEntry.Aftermath.NOTHING));
    }

    private boolean mayRunAgain(TaskEntry entry, Resources largest) {
        return switch (entry.row.parkReason().orElseThrow()) {
            case FITS_NOWHERE -> entry.size().fitsIn(largest);
            case TEAM_RETIRED -> profiles.isTeamKnown(entry);
            // The command itself fails; only the caller can change that, by a new job.
            case POISON -> false;
        };
    }

    private void parkTasksOfRetiredTeams() {
        state.live().stream()
                .filter(entry ->
                        entry.row.state() == TaskState.PENDING && entry.isIdle() && !profiles.isTeamKnown(entry))
                .forEach(entry -> proposals.propose(
                        entry, new TaskEvent.Parked(ParkReason.TEAM_RETIRED), TaskEntry.Aftermath.NOTHING));
    }

    private void drainClosedWorkers(long now) {
        state.workers().stream()
                .filter(worker -> worker.closed)
                .flatMap(worker -> state.tasksOn(worker.id).stream())
                .filter(entry -> isEvictable(entry, now) && profiles.of(entry).checkpointAllowed())
                .forEach(this::evict);
    }

    private void shrinkOvercommitted(long now) {
        for (WorkerEntry worker : state.workers()) {
            WorkerView view = view(worker, Resources.NONE, now);
            boolean fits = view.occupied().fitsIn(view.capacity()) || !worker.answeredOnce;
            if (fits) {
                worker.overCapacitySinceNanos = Optional.empty();
                state.tasksOn(worker.id).forEach(entry -> entry.wantedThrottlePercent = TaskEntry.UNTHROTTLED_PERCENT);
                continue;
            }
            long since = worker.overCapacitySinceNanos.orElse(now);
            worker.overCapacitySinceNanos = Optional.of(since);
            Resources leaving = evicting(worker);
            WorkerView afterEvictions = view(worker, Resources.NONE.minus(leaving), now);
            boolean throttledLongEnough = now - since >= THROTTLE_PATIENCE_NANOS;
            roomMaker.shrink(afterEvictions, throttledLongEnough).ifPresent(this::carryOut);
        }
    }

    private void carryOut(RoomPlan plan) {
        plan.throttled().stream()
                .flatMap(task -> state.task(task).stream())
                .forEach(entry -> entry.wantedThrottlePercent = THROTTLED_PERCENT);
        plan.evicted().stream().flatMap(task -> state.task(task).stream()).forEach(this::evict);
    }

    private void evict(TaskEntry entry) {
        proposals.propose(entry, new TaskEvent.EvictionBegun(), TaskEntry.Aftermath.NOTHING);
    }

    private void place(long now) {
        List<TaskEntry> waiting = state.live().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING && entry.isIdle())
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        Board board = new Board(now);
        waiting.stream()
                .filter(profiles::isUrgent)
                .sorted(Comparator.comparingLong(entry -> entry.waitingSinceNanos))
                .limit(MAX_ASSIGNMENTS)
                .forEach(board::placeUrgent);
        board.placeByTeam(
                waiting.stream().filter(entry -> !profiles.isUrgent(entry)).toList());
    }

    private boolean isEvictable(TaskEntry entry, long now) {
        boolean recently = entry.evictedAtNanos
                .map(evicted -> now - evicted < EVICTION_PAUSE_NANOS)
                .orElse(false);
        return entry.row.state() == TaskState.RUNNING
                && entry.isIdle()
                && entry.step == TaskEntry.Step.NONE
                && !recently;
    }

    private Resources evicting(WorkerEntry worker) {
        return state.tasksOn(worker.id).stream()
                .filter(PlacementRound::isLeaving)
                .map(TaskEntry::size)
                .reduce(Resources.NONE, Resources::plus);
    }

    private static boolean isLeaving(TaskEntry entry) {
        boolean proposed = entry.proposal
                .map(proposal -> proposal.change().to().state() == TaskState.EVICTING)
                .orElse(false);
        return proposed || entry.row.state() == TaskState.EVICTING;
    }

    private WorkerView view(WorkerEntry worker, Resources reserved, long now) {
        List<RunningTask> running = state.tasksOn(worker.id).stream()
                .map(entry -> new RunningTask(
                        entry.task(),
                        entry.size(),
                        profiles.of(entry),
                        Math.max(0, entry.workDoneMs - entry.savedWorkMs),
                        isEvictable(entry, now)))
                .toList();
        Resources occupied = state.occupied(worker).plus(reserved);
        return new WorkerView(worker.id, worker.capacity, occupied, running);
    }

    private boolean admits(WorkerEntry worker, long now) {
        boolean startsPending =
                state.tasksOn(worker.id).stream().anyMatch(entry -> entry.row.state() != TaskState.RUNNING);
        return worker.listed
                && !worker.closed
                && worker.acceptsStarts()
                && now >= worker.coolUntilNanos
                && worker.health.admits(startsPending, now);
    }

    /** Returns what the rack has to offer. */
    RackLoad load() {
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        Resources largestFree = Resources.NONE;
        Resources largestWorker = Resources.NONE;
        boolean complete = state.areWorkersKnown();
        for (WorkerEntry worker : state.workers()) {
            if (!worker.listed || worker.closed) {
                continue;
            }
            complete = complete && worker.answeredOnce;
            largestWorker = largestWorker.max(worker.capacity);
            if (worker.silent || worker.health.isQuarantined()) {
                continue;
            }
            Resources freeHere = worker.capacity.minus(state.occupied(worker));
            capacity = capacity.plus(worker.capacity);
            free = free.plus(freeHere.max(Resources.NONE));
            largestFree = larger(largestFree, freeHere);
        }
        int waiting = (int) state.live().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING)
                .count();
        return new RackLoad(capacity, free, largestFree, largestWorker, waiting, complete);
    }

    private static Resources larger(Resources first, Resources second) {
        return first.processorMillis() >= second.processorMillis() ? first : second;
    }

    /** The views of one round, updated as tasks are assigned. */
    private final class Board {

        private final long now;
        private final Map<WorkerId, WorkerView> views = new LinkedHashMap<>();
        private final QuotaLedger ledger;
        private final Set<Resources> misfits = new HashSet<>();
        private int assignments;

        Board(long now) {
            this.now = now;
            this.ledger = newLedger();
            state.workers().stream()
                    .filter(worker -> admits(worker, now))
                    .forEach(worker -> views.put(worker.id, view(worker, Resources.NONE, now)));
        }

        private QuotaLedger newLedger() {
            Resources total = load().capacity();
            QuotaLedger created = new QuotaLedger(total, localGuarantees());
            state.live().stream()
                    .filter(entry -> entry.row.state().isOnWorker())
                    .forEach(entry -> created.add(entry.row.spec().team(), entry.size()));
            return created;
        }

        /** Returns the part of each guarantee that falls to this rack, by its part of the known capacity. */
        private List<TeamQuota> localGuarantees() {
            Resources here = load().capacity();
            Resources everywhere = clusterCapacity.max(here);
            return profiles.configuration().teams().stream()
                    .map(quota -> new TeamQuota(quota.team(), Shares.part(quota.guaranteed(), here, everywhere)))
                    .toList();
        }

        void placeUrgent(TaskEntry entry) {
            if (tryAssign(entry, List.copyOf(views.values()))) {
                return;
            }
            if (reservations.containsKey(entry.task())) {
                return;
            }
            List<WorkerView> afterEvictions = views.values().stream()
                    .map(view -> withReserved(view, Resources.NONE.minus(evictingOn(view.id()))))
                    .toList();
            roomMaker.makeRoom(demandOf(entry), afterEvictions).ifPresent(plan -> {
                carryOut(plan);
                reservations.put(entry.task(), new Reservation(plan.worker(), entry.size(), now + RESERVATION_NANOS));
            });
        }

        private Resources evictingOn(WorkerId worker) {
            return state.worker(worker).map(PlacementRound.this::evicting).orElse(Resources.NONE);
        }

        /** Returns the view with the room that is kept for urgent tasks counted as taken. */
        private WorkerView withReserved(WorkerView view, Resources extra) {
            Resources reserved = reservations.values().stream()
                    .filter(reservation -> reservation.worker().equals(view.id()))
                    .map(Reservation::size)
                    .reduce(extra, Resources::plus);
            return new WorkerView(view.id(), view.capacity(), view.occupied().plus(reserved), view.running());
        }

        void placeByTeam(List<TaskEntry> waiting) {
            Map<TeamName, Deque<TaskEntry>> queues = new HashMap<>();
            waiting.stream()
                    .sorted(Comparator.comparingInt(
                                    (TaskEntry entry) -> -profiles.of(entry).priority())
                            .thenComparingLong(entry -> entry.waitingSinceNanos))
                    .forEach(entry -> queues.computeIfAbsent(entry.row.spec().team(), team -> new ArrayDeque<>())
                            .add(entry));
            while (!queues.isEmpty() && assignments < MAX_ASSIGNMENTS) {
                TeamName next = nextTeam(queues);
                Deque<TaskEntry> queue = queues.get(next);
                placeOrdinary(queue.remove());
                if (queue.isEmpty()) {
                    queues.remove(next);
                }
            }
        }

        private TeamName nextTeam(Map<TeamName, Deque<TaskEntry>> queues) {
            return queues.entrySet().stream()
                    .min(Comparator.<Map.Entry<TeamName, Deque<TaskEntry>>>comparingInt(
                                    entry -> isGuaranteed(entry.getValue().element()) ? 0 : 1)
                            .thenComparingInt(entry ->
                                    -profiles.of(entry.getValue().element()).priority())
                            .thenComparingDouble(entry -> ledger.share(entry.getKey()))
                            .thenComparing(entry -> entry.getKey().value()))
                    .map(Map.Entry::getKey)
                    .orElseThrow();
        }

        private boolean isGuaranteed(TaskEntry entry) {
            return ledger.isGuaranteed(entry.row.spec().team(), entry.size());
        }

        private void placeOrdinary(TaskEntry entry) {
            boolean plain = entry.row.failedOn().isEmpty();
            if (plain && misfits.contains(entry.size())) {
                return;
            }
            List<WorkerView> reserved = views.values().stream()
                    .map(view -> withReserved(view, Resources.NONE))
                    .toList();
            if (!tryAssign(entry, reserved) && plain) {
                misfits.add(entry.size());
            }
        }

        private boolean tryAssign(TaskEntry entry, List<WorkerView> candidates) {
            Optional<WorkerId> choice = policy.choose(demandOf(entry), candidates);
            choice.ifPresent(worker -> assign(entry, worker));
            return choice.isPresent();
        }

        private void assign(TaskEntry entry, WorkerId worker) {
            proposals.propose(entry, new TaskEvent.Assigned(worker), TaskEntry.Aftermath.NOTHING);
            reservations.remove(entry.task());
            ledger.add(entry.row.spec().team(), entry.size());
            assignments++;
            WorkerEntry chosen = state.worker(worker).orElseThrow();
            if (chosen.health.isQuarantined()) {
                views.remove(worker);
            } else {
                views.put(worker, view(chosen, Resources.NONE, now));
            }
        }

        private Demand demandOf(TaskEntry entry) {
            Set<WorkerId> avoid = new HashSet<>();
            boolean noOther = entry.row.failedOn().containsAll(views.keySet());
            boolean waitedLong = now - entry.waitingSinceNanos >= SAME_WORKER_PAUSE_NANOS;
            if (!noOther || !waitedLong) {
                avoid.addAll(entry.row.failedOn());
            }
            for (WorkerEntry worker : state.workers()) {
                boolean leftoverHere = worker.leftover(entry.task()).isPresent();
                boolean riskyProbe = worker.health.isQuarantined() && profiles.isUrgent(entry);
                if (leftoverHere || riskyProbe) {
                    avoid.add(worker.id);
                }
            }
            return new Demand(entry.task(), entry.size(), profiles.of(entry), avoid);
        }
    }
}
