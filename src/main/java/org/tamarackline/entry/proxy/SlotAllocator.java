package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.ReentrantLock;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.routing.AdmissionQueue;
import org.tamarackline.core.routing.ConnectionLimit;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.core.routing.SlotHandover;
import org.tamarackline.core.routing.SlotLease;
import org.tamarackline.core.routing.SlotTracker;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.settings.EntrySettings;

/**
 * Grants the slots of owned runners to local requests and to peers that borrow. Requests that have to wait get slots in the
 * order of their deadlines. Runners are owned by group; a group is the shard of some runners of one service.
 *
 * <p>Thread-safe. One lock guards the slots, the queues and the borrow requests. It is never held during I/O or a wait, nor
 * during a call to {@link Cluster}, which may call the ownership listener while holding its own lock, so that the two locks
 * could deadlock.
 */
@Singleton
public final class SlotAllocator {

    private final NodeId self;
    private final MonotonicClock clock;
    private final EntrySettings settings;
    private final SlotPeerClient peerClient;
    private final ServiceStatistics statistics;
    private final ReentrantLock lock = new ReentrantLock();
    private final OwnedSlots slots;
    private final SlotQueues queues;
    private final PeerBorrowQueue peerBorrows = new PeerBorrowQueue();

    /** Creates an allocator for a node that owns no runner groups yet. */
    @Inject
    public SlotAllocator(
            Cluster cluster,
            RunnerDirectory directory,
            MonotonicClock clock,
            EntrySettings settings,
            SlotPeerClient peerClient,
            ServiceStatistics statistics) {
        this.self = cluster.self();
        this.clock = clock;
        this.settings = settings;
        this.peerClient = peerClient;
        this.statistics = statistics;
        this.slots = new OwnedSlots(directory, clock, settings);
        this.queues = new SlotQueues(settings.requests().queueLength());
    }

    /** Acquires a free owned slot, unless other local requests for the service wait for one. */
    Optional<HeldSlot> tryAcquireOwned(ServiceName service, Set<RunnerId> excluded) {
        lock.lock();
        try {
            if (!queues.isEmpty(service)) {
                return Optional.empty();
            }
            return slots.acquire(newGrantId(), service, self, excluded).map(this::toHeldSlot);
        } finally {
            lock.unlock();
        }
    }

    private HeldSlot toHeldSlot(SlotLease lease) {
        return new HeldSlot(
                lease,
                Optional.empty(),
                clock.nowNanos() + settings.requests().requestLimit().toNanos());
    }

    /**
     * Adds a request to the queue of its service.
     *
     * @throws RequestException if the request is shed; it was not executed
     */
    AdmissionQueue.Entry<SlotWaiter> enqueue(ServiceName service, SlotWaiter waiter, long deadlineNanos)
            throws RequestException {
        lock.lock();
        try {
            AdmissionQueue.Entry<SlotWaiter> entry = queues.add(
                    service,
                    waiter,
                    deadlineNanos,
                    clock.nowNanos(),
                    slots.slotsServing(service),
                    statistics.meanServiceTimeNanos(service));
            grantWaitingLocked(service);
            return entry;
        } finally {
            lock.unlock();
        }
    }

    /** Removes a request from the queue. Returns the slot that was granted to the request in the meantime, if any. */
    Optional<HeldSlot> removeWaiting(ServiceName service, AdmissionQueue.Entry<SlotWaiter> entry) {
        lock.lock();
        try {
            queues.remove(service, entry);
            return entry.item().poll();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the waiting request with the earliest deadline, which gets the next slot. */
    Optional<AdmissionQueue.Entry<SlotWaiter>> firstWaiting(ServiceName service) {
        lock.lock();
        try {
            return queues.peek(service);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Grants a borrowed slot to the first waiting request. Returns false if no request waits or the first one excludes the
     * runner.
     */
    boolean grantToFirst(ServiceName service, HeldSlot slot) {
        lock.lock();
        try {
            Optional<AdmissionQueue.Entry<SlotWaiter>> first = queues.peek(service);
            if (first.isEmpty()
                    || first.get().item().excluded().contains(slot.runner().id())) {
                return false;
            }
            queues.remove(service, first.get());
            first.get().item().grant(slot);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Grants free slots of the service to waiting requests and reserves them for waiting peers. */
    void grantWaiting(ServiceName service) {
        lock.lock();
        try {
            grantWaitingLocked(service);
        } finally {
            lock.unlock();
        }
    }

    private void grantWaitingLocked(ServiceName service) {
        boolean progressed = true;
        while (progressed) {
            progressed = handleFirstBorrowLocked(service) || grantFirstLocked(service);
        }
    }

    /** Returns false if no request waits or no slot is free. */
    private boolean grantFirstLocked(ServiceName service) {
        Optional<AdmissionQueue.Entry<SlotWaiter>> first = queues.peek(service);
        if (first.isEmpty()) {
            return false;
        }
        SlotWaiter waiter = first.get().item();
        Optional<SlotLease> lease = slots.acquire(newGrantId(), service, self, waiter.excluded());
        if (lease.isEmpty()) {
            return false;
        }
        queues.remove(service, first.get());
        waiter.grant(toHeldSlot(lease.get()));
        return true;
    }

    /**
     * Lends a slot to another node, unless local requests wait and no slot is reserved for the node. If no slot is lent, the
     * borrow request is queued, and the node is notified when a slot has been reserved for it.
     */
    Optional<SlotLease> lend(NodeId borrower, SlotMessages.BorrowSlot request) {
        PeerBorrowQueue.Key key = new PeerBorrowQueue.Key(borrower, request.service());
        lock.lock();
        try {
            Optional<SlotLease> reserved = peerBorrows.takeReserved(key);
            reserved.ifPresent(lease -> slots.release(lease.grantId()));
            Optional<SlotLease> lease = Optional.empty();
            if (reserved.isPresent() || queues.isEmpty(request.service())) {
                lease = slots.acquire(request.grantId(), request.service(), borrower, request.excluded());
            }
            if (lease.isEmpty()) {
                long nowNanos = clock.nowNanos();
                long remainingNanos = Duration.ofMillis(request.remainingMs()).toNanos();
                peerBorrows.enqueue(key, nowNanos + remainingNanos, nowNanos);
            }
            return lease;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Handles the first queued borrow request if its deadline is earlier than that of the first local request: reserves a
     * slot and notifies the peer, or removes the borrow request if no slot is free. Returns false if there is no such borrow
     * request.
     */
    private boolean handleFirstBorrowLocked(ServiceName service) {
        Optional<Long> localDeadlineNanos = queues.peek(service).map(AdmissionQueue.Entry::deadlineNanos);
        Optional<PeerBorrowQueue.Key> first = peerBorrows.firstBefore(service, localDeadlineNanos, clock.nowNanos());
        if (first.isEmpty()) {
            return false;
        }
        PeerBorrowQueue.Key key = first.get();
        Optional<SlotLease> lease = slots.acquire(newGrantId(), service, key.peer(), Set.of());
        if (lease.isEmpty()) {
            // The peer repeats its borrow request while it needs a slot.
            peerBorrows.remove(key);
            return true;
        }
        peerBorrows.reserve(key, lease.get());
        Thread.ofVirtual().start(() -> notifyReserved(key, lease.get()));
        return true;
    }

    /**
     * Notifies the peer, which sends its borrow request before the call returns. A reservation that still exists afterwards
     * is not needed and is cancelled.
     */
    private void notifyReserved(PeerBorrowQueue.Key key, SlotLease lease) {
        peerClient.notifySlotFree(key.peer(), key.service());
        lock.lock();
        try {
            if (peerBorrows.cancelReservation(key, lease)) {
                slots.releaseUnused(lease);
                grantWaitingLocked(key.service());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Releases an owned slot. */
    void release(long grantId) {
        lock.lock();
        try {
            slots.release(grantId);
        } finally {
            lock.unlock();
        }
    }

    /** Applies a holder's report on the use of a slot. Returns false if this node no longer owns the runner's group. */
    boolean applyReport(SlotMessages.ReturnSlot report) {
        lock.lock();
        try {
            if (!slots.applyReport(report)) {
                return false;
            }
            slots.serviceOf(report.shard()).ifPresent(this::grantWaitingLocked);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Starts granting slots of a group that this node acquired. */
    void addGroup(ShardId shard, GroupOrigin origin) {
        lock.lock();
        try {
            slots.addGroup(shard, origin);
        } finally {
            lock.unlock();
        }
    }

    /** Stops granting slots of the group and returns its open uses, which are the granted slots that were not returned. */
    SlotHandover prepareHandover(ShardId shard) {
        lock.lock();
        try {
            return slots.prepareHandover(shard);
        } finally {
            lock.unlock();
        }
    }

    /** Removes a group that this node lost. */
    void removeGroup(ShardId shard) {
        lock.lock();
        try {
            slots.removeGroup(shard);
        } finally {
            lock.unlock();
        }
    }

    /** Replaces the runners of an owned group. */
    void setRunners(ShardId shard, List<Runner> runners) {
        lock.lock();
        try {
            slots.setRunners(shard, runners);
            runners.stream().findFirst().ifPresent(runner -> grantWaitingLocked(runner.service()));
        } finally {
            lock.unlock();
        }
    }

    /** Sets how many connections to each runner this node may hold. */
    void setConnectionLimit(ConnectionLimit limit) {
        lock.lock();
        try {
            slots.setConnectionLimit(limit);
        } finally {
            lock.unlock();
        }
    }

    /** Removes the failure history of runners that no longer exist, expires uses, and grants the slots that became free. */
    void removeStale(List<RunnerId> knownRunners) {
        lock.lock();
        try {
            slots.removeStale(knownRunners);
            queues.services().forEach(this::grantWaitingLocked);
        } finally {
            lock.unlock();
        }
    }

    private static long newGrantId() {
        return ThreadLocalRandom.current().nextLong();
    }

    /**
     * State of the allocator for the state dump.
     *
     * @param runners load of the owned runners
     * @param openUses number of slots in use, including those lent to other nodes
     * @param waiting number of requests that wait for a slot
     * @param ejected number of runners that are ejected for failures
     */
    public record Snapshot(List<SlotTracker.RunnerLoad> runners, int openUses, int waiting, int ejected) {}

    /** Returns the current state. */
    public Snapshot snapshot() {
        lock.lock();
        try {
            return new Snapshot(slots.runnerLoads(), slots.openUses(), queues.waiting(), slots.ejectedRunners());
        } finally {
            lock.unlock();
        }
    }
}
