package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.routing.AdmissionQueue;
import org.tamarackline.core.routing.SlotLease;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;

/**
 * Finds a slot for each request: a free owned one, one borrowed from a peer, or the next one that becomes free. It also
 * receives the reports on used slots and passes those on slots of other nodes to their owners. Thread-safe.
 */
@Singleton
public final class SlotBroker {

    /**
     * Shortest delay between two attempts to borrow while a request waits, twice that at most. Each attempt also grants slots
     * whose uses have expired.
     */
    private static final Duration BORROW_RETRY_INTERVAL = Duration.ofMillis(25);

    private final Cluster cluster;
    private final RunnerDirectory directory;
    private final MonotonicClock clock;
    private final SlotAllocator allocator;
    private final RunnerGroups groups;
    private final SlotPeerClient peerClient;
    private final ServiceStatistics statistics;

    /** Creates the broker. */
    @Inject
    public SlotBroker(
            Cluster cluster,
            RunnerDirectory directory,
            MonotonicClock clock,
            SlotAllocator allocator,
            RunnerGroups groups,
            SlotPeerClient peerClient,
            ServiceStatistics statistics) {
        this.cluster = cluster;
        this.directory = directory;
        this.clock = clock;
        this.allocator = allocator;
        this.groups = groups;
        this.peerClient = peerClient;
        this.statistics = statistics;
    }

    /**
     * Returns a slot, waiting if none is free.
     *
     * @param excluded runners that failed this request before
     * @throws RequestException if the request is shed or its deadline passes; it was not executed
     */
    public HeldSlot acquire(ServiceName service, long deadlineNanos, Set<RunnerId> excluded) throws RequestException {
        requireNotIsolated();
        Optional<HeldSlot> free = allocator.tryAcquireOwned(service, excluded);
        if (free.isEmpty()) {
            free = borrow(service, deadlineNanos, excluded);
        }
        if (free.isPresent()) {
            return free.get();
        }
        if (directory.acceptingRunnersOf(service).isEmpty()) {
            throw RequestException.notExecuted(
                    RequestErrorCode.NO_RUNNER, "service \"%s\" has no runner that takes work".formatted(service));
        }
        return awaitSlot(service, deadlineNanos, excluded);
    }

    private HeldSlot awaitSlot(ServiceName service, long deadlineNanos, Set<RunnerId> excluded)
            throws RequestException {
        SlotWaiter waiter = new SlotWaiter(excluded);
        AdmissionQueue.Entry<SlotWaiter> entry = allocator.enqueue(service, waiter, deadlineNanos);
        boolean grantTaken = false;
        try {
            while (deadlineNanos - clock.nowNanos() > 0) {
                Optional<HeldSlot> slot = waiter.await(borrowRetryDelayNanos(deadlineNanos));
                if (slot.isEmpty()) {
                    requireNotIsolated();
                    allocator.grantWaiting(service);
                    slot = waiter.poll().or(() -> borrow(service, deadlineNanos, excluded));
                }
                if (slot.isPresent()) {
                    grantTaken = waiter.poll().equals(slot);
                    return slot.get();
                }
            }
            throw RequestException.notExecuted(RequestErrorCode.OVERLOADED, "no slot became free before the deadline");
        } finally {
            leaveQueue(service, entry, !grantTaken);
        }
    }

    private long borrowRetryDelayNanos(long deadlineNanos) {
        long delayNanos =
                BORROW_RETRY_INTERVAL.toNanos() + ThreadLocalRandom.current().nextLong(BORROW_RETRY_INTERVAL.toNanos());
        return Math.min(delayNanos, deadlineNanos - clock.nowNanos());
    }

    /** Removes the request from the queue and releases a slot that was granted to it but is not used. */
    private void leaveQueue(ServiceName service, AdmissionQueue.Entry<SlotWaiter> entry, boolean releaseGranted) {
        Optional<HeldSlot> granted = allocator.removeWaiting(service, entry);
        if (releaseGranted) {
            granted.ifPresent(slot -> finish(slot, true, RunnerOutcome.NOT_JUDGED));
        }
    }

    private Optional<HeldSlot> borrow(ServiceName service, long deadlineNanos, Set<RunnerId> excluded) {
        return peerClient.borrow(
                directory.shardsOf(service), service, Duration.ofNanos(deadlineNanos - clock.nowNanos()), excluded);
    }

    /**
     * Lends a slot to another node, unless this node is isolated and may not rely on its ownership, or local requests wait and
     * no slot is reserved for the other node.
     */
    public Optional<SlotLease> lend(NodeId borrower, SlotMessages.BorrowSlot request) {
        if (cluster.membershipStatus() == MembershipStatus.ISOLATED) {
            return Optional.empty();
        }
        return allocator.lend(borrower, request);
    }

    /** Handles the notice that an owner has a free slot: borrows from it as long as local requests wait. */
    public void onSlotFree(NodeId owner, ServiceName service) {
        Optional<AdmissionQueue.Entry<SlotWaiter>> first = allocator.firstWaiting(service);
        while (first.isPresent()) {
            Duration remaining = Duration.ofNanos(first.get().deadlineNanos() - clock.nowNanos());
            Optional<HeldSlot> slot = peerClient.borrowFrom(
                    owner, service, remaining, first.get().item().excluded());
            if (slot.isEmpty()) {
                return;
            }
            if (!allocator.grantToFirst(service, slot.get())) {
                finish(slot.get(), true, RunnerOutcome.NOT_JUDGED);
            }
            first = allocator.firstWaiting(service);
        }
    }

    /**
     * Reports the outcome of a request to the owner of its runner and, if the request has ended, releases its slot.
     *
     * @param ended false if the runner may still be working on the request
     */
    public void finish(HeldSlot slot, boolean ended, RunnerOutcome outcome) {
        SlotLease lease = slot.lease();
        SlotMessages.ReturnSlot report = new SlotMessages.ReturnSlot(
                lease.grantId(), lease.shard(), lease.runner().id(), ended, outcome);
        if (applyReport(report)) {
            return;
        }
        if (outcome == RunnerOutcome.LEAVING) {
            directory.markLeaving(report.runner());
        }
        peerClient.report(report, slot.lender());
    }

    /** Releases a slot whose grant may not have reached the borrower. */
    public void cancelGrant(long grantId) {
        allocator.release(grantId);
    }

    /** Applies a report on an owned runner. Returns false if this node does not own its group any more. */
    public boolean applyReport(SlotMessages.ReturnSlot report) {
        if (report.health() == RunnerOutcome.LEAVING) {
            groups.markLeaving(report.shard(), report.runner());
        }
        return allocator.applyReport(report);
    }

    /** Returns the service times and retry budgets of the services. */
    public ServiceStatistics statistics() {
        return statistics;
    }

    private void requireNotIsolated() throws RequestException {
        if (cluster.membershipStatus() == MembershipStatus.ISOLATED) {
            throw RequestException.notExecuted(
                    RequestErrorCode.NOT_READY, "this node lost contact with the platform and its peers");
        }
    }

    /** Returns a snapshot for operators. */
    public SlotAllocator.Snapshot snapshot() {
        return allocator.snapshot();
    }
}
