package org.tamarackline.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;

/**
 * Counts the slots of the runners in the groups that this node owns.
 *
 * <p>A use ends when it is returned, or when it has surely ended: no request lasts longer than the request limit, so a use
 * whose return was lost counts until the request limit plus a margin has passed since it was granted.
 *
 * <p>Not thread-safe: the owner of the ledger guards it by one lock. All times are those of one monotonic clock.
 */
public final class SlotTracker {

    private final long maxUseNanos;
    private final Map<ShardId, Group> groups = new LinkedHashMap<>();
    private final Map<Long, Use> uses = new HashMap<>();
    private final PriorityQueue<Use> usesByEnd = new PriorityQueue<>(Comparator.comparing(Use::end));
    private long grantSequence;

    /**
     * Creates an empty ledger.
     *
     * @param maxUseDuration time after its grant at which a use has surely ended
     */
    public SlotTracker(Duration maxUseDuration) {
        this.maxUseNanos = maxUseDuration.toNanos();
    }

    /** Starts counting a group that had no earlier owner. */
    public void addNewGroup(ShardId shard, long nowNanos) {
        addGroup(shard, new MonotonicTime(nowNanos));
    }

    /** Starts counting a group whose earlier owner failed: its slots count as occupied until that owner's uses ended. */
    public void addGroupAfterOwnerFailure(ShardId shard, long nowNanos) {
        addGroup(shard, new MonotonicTime(nowNanos + maxUseNanos));
    }

    /** Starts counting a group that its earlier owner handed over. */
    public void addGroupAfterHandover(ShardId shard, SlotHandover handover, long nowNanos) {
        Group group = addGroup(
                shard,
                new MonotonicTime(
                        nowNanos + Duration.ofMillis(handover.occupiedMs()).toNanos()));
        for (SlotHandover.OpenUse open : handover.uses()) {
            MonotonicTime end = new MonotonicTime(
                    nowNanos + Duration.ofMillis(open.remainingMs()).toNanos());
            addUse(new Use(open.grantId(), shard, group.slotsOf(open.runner()), open.holder(), end));
        }
    }

    /** Stops granting slots of the group and returns its open uses. */
    public SlotHandover prepareHandover(ShardId shard, long nowNanos) {
        expireUses(nowNanos);
        Group group = groups.get(shard);
        if (group == null) {
            return new SlotHandover(0, List.of());
        }
        group.handingOver = true;
        List<SlotHandover.OpenUse> open = new ArrayList<>();
        for (Use use : uses.values()) {
            if (use.shard.equals(shard)) {
                open.add(new SlotHandover.OpenUse(
                        use.grantId, use.slots.runnerId, use.holder, use.end.remainingMs(nowNanos)));
            }
        }
        return new SlotHandover(group.occupiedUntil.remainingMs(nowNanos), open);
    }

    /** Forgets a group that this node no longer owns. Returns whether it was counted here. */
    public boolean removeGroup(ShardId shard) {
        uses.values().removeIf(use -> use.shard.equals(shard) && use.finish());
        return groups.remove(shard) != null;
    }

    /** Replaces the runners of a group. A runner that is no longer listed gets nothing, but its open uses still count. */
    public void setRunners(ShardId shard, Collection<Runner> runners) {
        Group group = groups.get(shard);
        if (group == null) {
            return;
        }
        group.runners.values().forEach(slots -> slots.runner = Optional.empty());
        for (Runner runner : runners) {
            group.slotsOf(runner.id()).runner = Optional.of(runner);
        }
        group.runners.values().removeIf(slots -> slots.runner.isEmpty() && slots.used() == 0);
    }

    /** Returns whether this node counts the slots of the group. */
    public boolean owns(ShardId shard) {
        return groups.containsKey(shard);
    }

    /**
     * Grants a slot of the least loaded runner, with those of the nearest data centre first. Grants nothing under an
     * identifier that is in use.
     *
     * @param usable rejects runners that are ejected for failures
     */
    public Optional<SlotLease> acquire(SlotRequest request, Predicate<RunnerId> usable, long nowNanos) {
        expireUses(nowNanos);
        if (uses.containsKey(request.grantId())) {
            return Optional.empty();
        }
        Candidate best = null;
        for (Map.Entry<ShardId, Group> entry : groups.entrySet()) {
            Group group = entry.getValue();
            if (!group.isGranting(nowNanos)) {
                continue;
            }
            for (RunnerSlots slots : group.runners.values()) {
                if (slots.canServe(request) && usable.test(slots.runnerId)) {
                    best = preferred(best, new Candidate(entry.getKey(), slots), request);
                }
            }
        }
        return Optional.ofNullable(best).map(candidate -> grant(candidate, request, nowNanos));
    }

    private SlotLease grant(Candidate candidate, SlotRequest request, long nowNanos) {
        candidate.slots.lastGrantSequence = ++grantSequence;
        MonotonicTime end = new MonotonicTime(nowNanos + maxUseNanos);
        addUse(new Use(request.grantId(), candidate.shard, candidate.slots, request.holder(), end));
        return new SlotLease(request.grantId(), candidate.shard, candidate.slots.runner.orElseThrow());
    }

    /** Ends a use. Returns whether it was open here; a second return of the same use changes nothing. */
    public boolean release(long grantId) {
        Use use = uses.remove(grantId);
        return use != null && use.finish();
    }

    /** Ends the uses that have surely ended. Returns whether there were any. */
    public boolean expireUses(long nowNanos) {
        boolean expired = false;
        while (!usesByEnd.isEmpty()
                && (usesByEnd.peek().finished || !usesByEnd.peek().end.isAfter(nowNanos))) {
            expired |= release(usesByEnd.poll().grantId);
        }
        return expired;
    }

    /** Returns the load of the runners of a service, or of all if {@code service} is empty. */
    public List<RunnerLoad> runnerLoads(Optional<ServiceName> service, long nowNanos) {
        List<RunnerLoad> loads = new ArrayList<>();
        groups.forEach((shard, group) -> group.runners.values().stream()
                .filter(slots -> slots.runner.isPresent())
                .filter(slots ->
                        service.isEmpty() || slots.runner.get().service().equals(service.get()))
                .forEach(slots -> loads.add(
                        new RunnerLoad(shard, slots.runner.get(), slots.used(), group.isGranting(nowNanos)))));
        return loads;
    }

    /** Returns the slots of accepting runners of the service, free or not. */
    public int capacityOf(ServiceName service) {
        int capacity = 0;
        for (Group group : groups.values()) {
            for (RunnerSlots slots : group.runners.values()) {
                if (slots.accepts(service)) {
                    capacity += slots.runner.get().slots();
                }
            }
        }
        return capacity;
    }

    /** Returns the number of open uses. */
    public int openUses() {
        return uses.size();
    }

    /** A group that is counted already, because its handover failed, keeps its open uses. */
    private Group addGroup(ShardId shard, MonotonicTime occupiedUntil) {
        Group group = groups.computeIfAbsent(shard, id -> new Group(occupiedUntil));
        group.handingOver = false;
        if (occupiedUntil.compareTo(group.occupiedUntil) > 0) {
            group.occupiedUntil = occupiedUntil;
        }
        return group;
    }

    private void addUse(Use use) {
        Use replaced = uses.put(use.grantId, use);
        if (replaced != null) {
            replaced.finish();
        }
        use.slots.addUse(use.holder);
        usesByEnd.add(use);
    }

    private static Candidate preferred(Candidate best, Candidate next, SlotRequest request) {
        return best == null || next.compareTo(best, request) < 0 ? next : best;
    }

    /**
     * The load of one runner.
     *
     * @param shard runner group of the runner
     * @param runner the runner
     * @param used slots in use
     * @param granting whether slots of its group are granted at present
     */
    public record RunnerLoad(ShardId shard, Runner runner, int used, boolean granting) {}

    /** A point on the monotonic clock, whose values may overflow and are therefore compared by their difference. */
    private record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
        boolean isAfter(long otherNanos) {
            return nanos - otherNanos > 0;
        }

        long remainingMs(long nowNanos) {
            return Math.max(
                    0, Duration.ofNanos(nanos - nowNanos).plusNanos(999_999).toMillis());
        }

        @Override
        public int compareTo(MonotonicTime other) {
            return Long.signum(nanos - other.nanos);
        }
    }

    private static final class Group {
        private MonotonicTime occupiedUntil;
        private final Map<RunnerId, RunnerSlots> runners = new LinkedHashMap<>();
        private boolean handingOver;

        Group(MonotonicTime occupiedUntil) {
            this.occupiedUntil = occupiedUntil;
        }

        boolean isGranting(long nowNanos) {
            return !handingOver && !occupiedUntil.isAfter(nowNanos);
        }

        RunnerSlots slotsOf(RunnerId runner) {
            return runners.computeIfAbsent(runner, RunnerSlots::new);
        }
    }

    private static final class RunnerSlots {
        private final RunnerId runnerId;
        private final Map<NodeId, Integer> usesByHolder = new HashMap<>();
        private Optional<Runner> runner = Optional.empty();
        private int used;
        private long lastGrantSequence;

        RunnerSlots(RunnerId runnerId) {
            this.runnerId = runnerId;
        }

        int used() {
            return used;
        }

        boolean accepts(ServiceName service) {
            return runner.isPresent()
                    && runner.get().accepting()
                    && runner.get().service().equals(service);
        }

        boolean canServe(SlotRequest request) {
            return accepts(request.service())
                    && used < runner.get().slots()
                    && usesByHolder.getOrDefault(request.holder(), 0)
                            < request.connectionLimit().connectionsTo(runner.get())
                    && !request.excluded().contains(runnerId);
        }

        void addUse(NodeId holder) {
            used++;
            usesByHolder.merge(holder, 1, Integer::sum);
        }

        void removeUse(NodeId holder) {
            used--;
            usesByHolder.computeIfPresent(holder, (node, count) -> count > 1 ? count - 1 : null);
        }
    }

    private static final class Use {
        private final long grantId;
        private final ShardId shard;
        private final RunnerSlots slots;
        private final NodeId holder;
        private final MonotonicTime end;
        private boolean finished;

        Use(long grantId, ShardId shard, RunnerSlots slots, NodeId holder, MonotonicTime end) {
            this.grantId = grantId;
            this.shard = shard;
            this.slots = slots;
            this.holder = holder;
            this.end = end;
        }

        MonotonicTime end() {
            return end;
        }

        boolean finish() {
            if (finished) {
                return false;
            }
            finished = true;
            slots.removeUse(holder);
            return true;
        }
    }

    private record Candidate(ShardId shard, RunnerSlots slots) {
        /** Orders by data centre, then by the share of slots in use, then by the least recent grant. */
        int compareTo(Candidate other, SlotRequest request) {
            int byDataCentre = Boolean.compare(isInOtherDataCentre(request), other.isInOtherDataCentre(request));
            if (byDataCentre != 0) {
                return byDataCentre;
            }
            long load = (long) slots.used * other.slots.runner.orElseThrow().slots();
            long otherLoad =
                    (long) other.slots.used * slots.runner.orElseThrow().slots();
            int byLoad = Long.compare(load, otherLoad);
            return byLoad != 0 ? byLoad : Long.compare(slots.lastGrantSequence, other.slots.lastGrantSequence);
        }

        private boolean isInOtherDataCentre(SlotRequest request) {
            return !slots.runner.orElseThrow().dataCentre().equals(request.preferredDataCentre());
        }
    }
}
