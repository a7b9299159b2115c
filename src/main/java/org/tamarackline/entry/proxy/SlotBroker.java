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

/** Finds a slot for each request: an own one, a borrowed one, or the next one that becomes free. Thread-safe. */
@Singleton
public final class SlotBroker {

    /** Time between two attempts to borrow while a request waits, which also grants slots that became free by time. */
    private static final Duration BORROW_RETRY_INTERVAL = Duration.ofMillis(25);

    private final Cluster cluster;
    private final RunnerDirectory directory;
    private final MonotonicClock clock;
    private final SlotAllocator allocator;
    private final RunnerGroups groups;
    private final SlotPeerClient peerClient;
    private final ServiceStatistics statistics;

    /** Creates a broker over the own slots and those that other nodes lend. */
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
     * Returns a slot, after a wait if none is free.
     *
     * @param excluded runners that failed this request before
     * @throws RequestException if the request is shed or its deadline passes; it was not run
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

    /** A slot that was granted while the waiter gave up is released again. */
    private void leaveQueue(ServiceName service, AdmissionQueue.Entry<SlotWaiter> entry, boolean releaseGranted) {
        Optional<HeldSlot> granted = allocator.leaveQueue(service, entry);
        if (releaseGranted) {
            granted.ifPresent(slot -> finish(slot, true, RunnerOutcome.NOT_JUDGED));
        }
    }

    private Optional<HeldSlot> borrow(ServiceName service, long deadlineNanos, Set<RunnerId> excluded) {
        return peerClient.borrow(
                directory.shardsOf(service), service, Duration.ofNanos(deadlineNanos - clock.nowNanos()), excluded);
    }

    /** Lends a slot to another node, unless own requests wait or this node may not rely on its ownership. */
    public Optional<SlotLease> lend(NodeId borrower, SlotMessages.BorrowSlot request) {
        if (cluster.membershipStatus() == MembershipStatus.ISOLATED) {
            return Optional.empty();
        }
        return allocator.lend(borrower, request);
    }

    /** Borrows from an owner that has a free slot, as long as requests wait here. */
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
     * Reports how a request went and, if it has ended, returns its slot.
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

    /** Ends a use whose grant did not reach the borrower. */
    public void cancelGrant(long grantId) {
        allocator.release(grantId);
    }

    /** Applies a report to an own runner. Returns false if this node does not own its group any more. */
    public boolean applyReport(SlotMessages.ReturnSlot report) {
        if (report.health() == RunnerOutcome.LEAVING) {
            groups.markLeaving(report.shard(), report.runner());
        }
        return allocator.applyReport(report);
    }

    /** Returns the service times and retry budgets of the requests that slots are found for. */
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
