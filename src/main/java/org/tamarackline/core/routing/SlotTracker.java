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
 * Tracks which slots of runners are in use, for the runner groups that this node owns, and grants free slots.
 *
 * <p>A use of a slot ends when the slot is returned, or at the latest when the request limit plus a margin has passed since
 * the grant. No request lasts longer than that, so a slot whose return was lost becomes free again.
 *
 * <p>Not thread-safe: guarded by its owner's lock. All times are those of one monotonic clock.
 */
public final class SlotTracker {

    private final long maxUseNanos;
    private final Map<ShardId, Group> groups = new LinkedHashMap<>();
    private final Map<Long, Use> uses = new HashMap<>();
    private final PriorityQueue<Use> usesByEnd = new PriorityQueue<>(Comparator.comparing(Use::end));
    private long grantSequence;

    /**
     * Creates a tracker without groups.
     *
     * @param maxUseDuration time after the grant at which a use has certainly ended
     */
    public SlotTracker(Duration maxUseDuration) {
        this.maxUseNanos = maxUseDuration.toNanos();
    }

    /** Adds a group that had no earlier owner. */
    public void addNewGroup(ShardId shard, long nowNanos) {
        addGroup(shard, new MonotonicTime(nowNanos));
    }

    /** Adds a group whose earlier owner failed. Its slots count as occupied until all uses granted by that owner have ended. */
    public void addGroupAfterOwnerFailure(ShardId shard, long nowNanos) {
        addGroup(shard, new MonotonicTime(nowNanos + maxUseNanos));
    }

    /** Adds a group that its earlier owner handed over. */
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

    /** Stops granting slots of the group and returns its state for the next owner. */
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

    /** Removes a group that this node no longer owns. Returns whether it was tracked here. */
    public boolean removeGroup(ShardId shard) {
        uses.values().removeIf(use -> use.shard.equals(shard) && use.finish());
        return groups.remove(shard) != null;
    }

    /** Replaces the runners of a group. A runner that is no longer listed gets no requests, but its open uses still count. */
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

    /** Returns whether the group is tracked here. */
    public boolean owns(ShardId shard) {
        return groups.containsKey(shard);
    }

    /**
     * Grants a slot of the least loaded runner in the preferred data centre, or in another one if that has none free. Grants
     * nothing if the grant identifier is in use.
     *
     * @param usable whether a runner may be chosen; false for ejected runners
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

    /** Ends a use. Returns whether it was open here; returning a slot again has no effect. */
    public boolean release(long grantId) {
        Use use = uses.remove(grantId);
        return use != null && use.finish();
    }

    /** Ends the uses whose maximum duration has passed. Returns whether there were any. */
    public boolean expireUses(long nowNanos) {
        boolean expired = false;
        while (!usesByEnd.isEmpty()
                && (usesByEnd.peek().finished || !usesByEnd.peek().end.isAfter(nowNanos))) {
            expired |= release(usesByEnd.poll().grantId);
        }
        return expired;
    }

    /** Returns the load of the listed runners of a service, or of all services if {@code service} is empty. */
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

    /** Returns the number of slots of the service's runners that accept requests, whether free or in use. */
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

    /** A group that is tracked already, because its handover failed, keeps its open uses. */
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
     * @param used number of slots in use
     * @param granting whether slots of its group are currently granted
     */
    public record RunnerLoad(ShardId shard, Runner runner, int used, boolean granting) {}

    /** A time of the monotonic clock. Its values may overflow, so they are compared by their difference. */
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
