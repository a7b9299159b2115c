package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.ReentrantLock;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.membership.Standing;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.routing.AdmissionQueue;
import org.tamarackline.core.routing.ConnectionShare;
import org.tamarackline.core.routing.OutlierDetector;
import org.tamarackline.core.routing.RetryBudget;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.core.routing.ServiceTime;
import org.tamarackline.core.routing.SlotHandover;
import org.tamarackline.core.routing.SlotLease;
import org.tamarackline.core.routing.SlotLedger;
import org.tamarackline.core.routing.SlotRequest;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.settings.EntrySettings;

/**
 * Finds a slot for each request: an own one, a borrowed one, or the next one that becomes free.
 *
 * <p>Thread-safe. One lock guards the ledger, the queues and the detector; it is never held during I/O or a wait, nor
 * during a call to {@link Cluster}, which calls the ownership listener under a lock of its own.
 */
@Singleton
public final class SlotBroker {

    /** Time between two attempts to borrow while a request waits, which also grants slots that became free by time. */
    private static final Duration WAIT_STEP = Duration.ofMillis(25);

    private final Cluster cluster;
    private final NodeId self;
    private final RunnerDirectory directory;
    private final MonotonicClock clock;
    private final EntrySettings settings;
    private final SlotLending lending;
    private final ReentrantLock lock = new ReentrantLock();
    private final SlotLedger ledger;
    private final OutlierDetector outliers = new OutlierDetector(OutlierDetector.Limits.defaults());
    private final Map<ServiceName, ServiceState> services = new HashMap<>();
    private final PeerClaims peerClaims = new PeerClaims();
    private volatile ConnectionShare connectionShare = new ConnectionShare(1);
    private int waiting;

    /** Creates a broker that owns no runners. */
    @Inject
    public SlotBroker(
            Cluster cluster,
            RunnerDirectory directory,
            MonotonicClock clock,
            EntrySettings settings,
            SlotLending lending) {
        this.cluster = cluster;
        this.self = cluster.self();
        this.directory = directory;
        this.clock = clock;
        this.settings = settings;
        this.lending = lending;
        this.ledger = new SlotLedger(
                settings.requests().requestLimit().plus(settings.cluster().driftMargin()));
    }

    private final class ServiceState {
        private final AdmissionQueue<SlotWaiter> queue =
                new AdmissionQueue<>(settings.requests().queueLength());
        private final ServiceTime serviceTime = new ServiceTime();
        private final RetryBudget retries = new RetryBudget(settings.requests().retryPercent());
    }

    /**
     * Returns a slot, after a wait if none is free.
     *
     * @param excluded runners that failed this request before
     * @throws RequestException if the request is shed or its deadline passes; it was not run
     */
    public HeldSlot acquire(ServiceName service, long deadlineNanos, Set<RunnerId> excluded) throws RequestException {
        requireStanding();
        Optional<HeldSlot> free = tryOwn(service, excluded);
        if (free.isEmpty()) {
            free = borrow(service, deadlineNanos, excluded);
        }
        if (free.isPresent()) {
            return free.get();
        }
        if (directory.acceptingRunnersOf(service).isEmpty()) {
            throw RequestException.notRun(
                    RequestErrorCode.NO_RUNNER, "service \"%s\" has no runner that takes work".formatted(service));
        }
        return await(service, deadlineNanos, excluded);
    }

    private HeldSlot await(ServiceName service, long deadlineNanos, Set<RunnerId> excluded) throws RequestException {
        SlotWaiter waiter = new SlotWaiter(excluded);
        AdmissionQueue.Entry<SlotWaiter> entry = enqueue(service, waiter, deadlineNanos);
        boolean keep = false;
        try {
            while (deadlineNanos - clock.nowNanos() > 0) {
                Optional<HeldSlot> slot = waiter.await(waitStepNanos(deadlineNanos));
                if (slot.isEmpty()) {
                    requireStanding();
                    grantWaiting(service);
                    slot = waiter.poll().or(() -> borrow(service, deadlineNanos, excluded));
                }
                if (slot.isPresent()) {
                    keep = waiter.poll().equals(slot);
                    return slot.get();
                }
            }
            throw RequestException.notRun(RequestErrorCode.OVERLOADED, "no slot became free before the deadline");
        } finally {
            leaveQueue(service, entry, !keep);
        }
    }

    private long waitStepNanos(long deadlineNanos) {
        long stepNanos = WAIT_STEP.toNanos() + ThreadLocalRandom.current().nextLong(WAIT_STEP.toNanos());
        return Math.min(stepNanos, deadlineNanos - clock.nowNanos());
    }

    private AdmissionQueue.Entry<SlotWaiter> enqueue(ServiceName service, SlotWaiter waiter, long deadlineNanos)
            throws RequestException {
        lock.lock();
        try {
            ServiceState state = stateOf(service);
            long nowNanos = clock.nowNanos();
            if (waiting >= settings.requests().queueLength()) {
                throw RequestException.notRun(RequestErrorCode.OVERLOADED, "too many requests wait for a slot");
            }
            AdmissionQueue.Offer<SlotWaiter> offer = state.queue.offer(
                    waiter, deadlineNanos, nowNanos, slotsServing(service), state.serviceTime.meanNanos());
            return switch (offer) {
                case AdmissionQueue.Offer.Queued<SlotWaiter> queued -> {
                    waiting++;
                    grantWaitingLocked(service);
                    yield queued.entry();
                }
                case AdmissionQueue.Offer.Full<SlotWaiter> full ->
                    throw RequestException.notRun(RequestErrorCode.OVERLOADED, "too many requests wait for a slot");
                case AdmissionQueue.Offer.TooLate<SlotWaiter> late ->
                    throw RequestException.notRun(
                            RequestErrorCode.OVERLOADED,
                            "the expected wait of %d ms is too long for the deadline"
                                    .formatted(Duration.ofNanos(late.expectedWaitNanos())
                                            .toMillis()));
            };
        } finally {
            lock.unlock();
        }
    }

    /** A slot that was granted while the waiter gave up is released again. */
    private void leaveQueue(ServiceName service, AdmissionQueue.Entry<SlotWaiter> entry, boolean releaseGranted) {
        Optional<HeldSlot> unused;
        lock.lock();
        try {
            if (stateOf(service).queue.remove(entry)) {
                waiting--;
            }
            unused = releaseGranted ? entry.item().poll() : Optional.empty();
        } finally {
            lock.unlock();
        }
        unused.ifPresent(slot -> finish(slot, true, RunnerHealth.NOT_JUDGED));
    }

    private Optional<HeldSlot> tryOwn(ServiceName service, Set<RunnerId> excluded) {
        lock.lock();
        try {
            if (stateOf(service).queue.size() > 0) {
                return Optional.empty();
            }
            return acquireLocked(newGrantId(), service, self, excluded).map(this::own);
        } finally {
            lock.unlock();
        }
    }

    private HeldSlot own(SlotLease lease) {
        return new HeldSlot(
                lease,
                Optional.empty(),
                clock.nowNanos() + settings.requests().requestLimit().toNanos());
    }

    private Optional<SlotLease> acquireLocked(
            long grantId, ServiceName service, NodeId holder, Set<RunnerId> excluded) {
        long nowNanos = clock.nowNanos();
        SlotRequest request =
                new SlotRequest(grantId, service, holder, settings.dataCentre(), connectionShare, excluded);
        Optional<SlotLease> lease = ledger.acquire(request, runner -> outliers.isUsable(runner, nowNanos), nowNanos);
        lease.ifPresent(granted -> outliers.recordGrant(granted.runner().id(), nowNanos));
        return lease;
    }

    private Optional<HeldSlot> borrow(ServiceName service, long deadlineNanos, Set<RunnerId> excluded) {
        return lending.borrow(
                directory.shardsOf(service), service, Duration.ofNanos(deadlineNanos - clock.nowNanos()), excluded);
    }

    /** Lends a slot to another node, unless own requests wait or this node may not rely on its ownership. */
    public Optional<SlotLease> lend(NodeId borrower, SlotMessages.BorrowSlot request) {
        if (cluster.standing() == Standing.ISOLATED) {
            return Optional.empty();
        }
        PeerClaims.Key key = new PeerClaims.Key(borrower, request.service());
        lock.lock();
        try {
            Optional<SlotLease> reserved = peerClaims.takeReserved(key);
            reserved.ifPresent(lease -> ledger.release(lease.grantId()));
            Optional<SlotLease> lease = Optional.empty();
            if (reserved.isPresent() || stateOf(request.service()).queue.size() == 0) {
                lease = acquireLocked(request.grantId(), request.service(), borrower, request.excluded());
            }
            if (lease.isEmpty()) {
                long nowNanos = clock.nowNanos();
                long remainingNanos = Duration.ofMillis(request.remainingMs()).toNanos();
                peerClaims.add(key, nowNanos + remainingNanos, nowNanos);
            }
            return lease;
        } finally {
            lock.unlock();
        }
    }

    /** Reserves a free slot for a peer whose request comes first, and tells it. Returns false if there is none. */
    private boolean reserveForPeerLocked(ServiceName service) {
        Optional<Long> ownDeadlineNanos = stateOf(service).queue.first().map(AdmissionQueue.Entry::deadlineNanos);
        Optional<PeerClaims.Key> first = peerClaims.firstBefore(service, ownDeadlineNanos, clock.nowNanos());
        if (first.isEmpty()) {
            return false;
        }
        PeerClaims.Key key = first.get();
        Optional<SlotLease> lease = acquireLocked(newGrantId(), service, key.peer(), Set.of());
        if (lease.isEmpty()) {
            peerClaims.drop(key);
            return true;
        }
        peerClaims.reserve(key, lease.get());
        Thread.ofVirtual().start(() -> offer(key, lease.get()));
        return true;
    }

    /** The peer borrows while it is being told; a reservation that is left then was not wanted. */
    private void offer(PeerClaims.Key key, SlotLease lease) {
        lending.tellFree(key.peer(), key.service());
        lock.lock();
        try {
            if (peerClaims.endReservation(key, lease)) {
                ledger.release(lease.grantId());
                outliers.recordUnused(lease.runner().id());
                grantWaitingLocked(key.service());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Borrows from an owner that has a free slot, as long as requests wait here. */
    public void slotFreeAt(NodeId owner, ServiceName service) {
        Optional<AdmissionQueue.Entry<SlotWaiter>> first = firstWaiting(service);
        while (first.isPresent()) {
            Duration remaining = Duration.ofNanos(first.get().deadlineNanos() - clock.nowNanos());
            Optional<HeldSlot> slot = lending.borrowFrom(
                    owner, service, remaining, first.get().item().excluded());
            if (slot.isEmpty()) {
                return;
            }
            if (!grantToFirst(service, slot.get())) {
                finish(slot.get(), true, RunnerHealth.NOT_JUDGED);
            }
            first = firstWaiting(service);
        }
    }

    private Optional<AdmissionQueue.Entry<SlotWaiter>> firstWaiting(ServiceName service) {
        lock.lock();
        try {
            return stateOf(service).queue.first();
        } finally {
            lock.unlock();
        }
    }

    private boolean grantToFirst(ServiceName service, HeldSlot slot) {
        lock.lock();
        try {
            AdmissionQueue<SlotWaiter> queue = stateOf(service).queue;
            Optional<AdmissionQueue.Entry<SlotWaiter>> first = queue.first();
            if (first.isEmpty()
                    || first.get().item().excluded().contains(slot.runner().id())) {
                return false;
            }
            queue.remove(first.get());
            waiting--;
            first.get().item().grant(slot);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Reports how a request went and, if it has ended, returns its slot.
     *
     * @param ended false if the runner may still be working on the request
     */
    public void finish(HeldSlot slot, boolean ended, RunnerHealth health) {
        SlotLease lease = slot.lease();
        SlotMessages.ReturnSlot report = new SlotMessages.ReturnSlot(
                lease.grantId(), lease.shard(), lease.runner().id(), ended, health);
        if (apply(report)) {
            return;
        }
        if (health == RunnerHealth.LEAVING) {
            directory.markLeaving(report.runner());
        }
        lending.report(report, slot.lender());
    }

    /** Ends a use whose grant did not reach the borrower. */
    public void cancelGrant(long grantId) {
        lock.lock();
        try {
            ledger.release(grantId);
        } finally {
            lock.unlock();
        }
    }

    /** Applies a report to an own runner. Returns false if this node does not own its group any more. */
    public boolean apply(SlotMessages.ReturnSlot report) {
        if (report.health() == RunnerHealth.LEAVING && directory.markLeaving(report.runner())) {
            directory.rebuild();
            updateRunners(report.shard());
        }
        lock.lock();
        try {
            if (!ledger.owns(report.shard())) {
                return false;
            }
            recordHealth(report);
            if (report.released()) {
                ledger.release(report.grantId());
            }
            serviceOf(report).ifPresent(this::grantWaitingLocked);
            return true;
        } finally {
            lock.unlock();
        }
    }

    private Optional<ServiceName> serviceOf(SlotMessages.ReturnSlot report) {
        return directory.runnersOf(report.shard()).stream().findFirst().map(Runner::service);
    }

    private void recordHealth(SlotMessages.ReturnSlot report) {
        if (report.health() == RunnerHealth.ANSWERED) {
            outliers.recordSuccess(report.runner());
        } else if (report.health() == RunnerHealth.FAILED) {
            long nowNanos = clock.nowNanos();
            int ownRunners = ledger.loads(serviceOf(report), nowNanos).size();
            outliers.recordFailure(report.runner(), nowNanos, ownRunners);
        } else {
            outliers.recordUnused(report.runner());
        }
    }

    /** Records the time that an answered request took on its runner. */
    public void recordServiceTime(ServiceName service, long nanos) {
        lock.lock();
        try {
            stateOf(service).serviceTime.record(nanos);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the measured mean time of the service's requests, 0 if unknown. */
    public long meanServiceTimeNanos(ServiceName service) {
        lock.lock();
        try {
            return stateOf(service).serviceTime.meanNanos();
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request for the retry budget of its service. */
    public void recordRequest(ServiceName service) {
        lock.lock();
        try {
            stateOf(service).retries.recordRequest();
        } finally {
            lock.unlock();
        }
    }

    /** Takes a retry from the budget of the service. */
    public boolean tryRetry(ServiceName service) {
        lock.lock();
        try {
            return stateOf(service).retries.tryRetry();
        } finally {
            lock.unlock();
        }
    }

    /** Starts counting the slots of a group that this node gained. */
    public void gained(ShardId shard, GroupOrigin origin) {
        lock.lock();
        try {
            long nowNanos = clock.nowNanos();
            switch (origin) {
                case GroupOrigin.Fresh fresh -> ledger.gainFresh(shard, nowNanos);
                case GroupOrigin.AfterFailure failure -> ledger.gainAfterFailure(shard, nowNanos);
                case GroupOrigin.HandedOver handed -> ledger.gainByHandover(shard, handed.state(), nowNanos);
            }
        } finally {
            lock.unlock();
        }
        updateRunners(shard);
    }

    /** How the slots of a gained group stand. */
    public sealed interface GroupOrigin {
        /** No one used them before. */
        record Fresh() implements GroupOrigin {}

        /** The earlier owner failed; what it granted may still be in use. */
        record AfterFailure() implements GroupOrigin {}

        /**
         * The earlier owner named its open uses.
         *
         * @param state open uses
         */
        record HandedOver(SlotHandover state) implements GroupOrigin {}
    }

    /** Stops granting slots of the group and returns its open uses. */
    public SlotHandover prepareHandover(ShardId shard) {
        lock.lock();
        try {
            return ledger.prepareHandover(shard, clock.nowNanos());
        } finally {
            lock.unlock();
        }
    }

    /** Forgets a group that this node lost. */
    public void lost(ShardId shard) {
        lock.lock();
        try {
            ledger.lose(shard);
        } finally {
            lock.unlock();
        }
    }

    /** Applies the directory's runners to all owned groups and grants slots that became free by time. */
    public void updateRunners() {
        connectionShare = new ConnectionShare(cluster.peers().size() + 1);
        cluster.ownedShards().forEach(this::updateRunners);
        List<RunnerId> known = directory.all().stream().map(Runner::id).toList();
        lock.lock();
        try {
            outliers.retain(known);
            ledger.expire(clock.nowNanos());
            new ArrayList<>(services.keySet()).forEach(this::grantWaitingLocked);
        } finally {
            lock.unlock();
        }
    }

    /** Returns how many connections to each runner this node may hold. */
    public ConnectionShare connectionShare() {
        return connectionShare;
    }

    private void updateRunners(ShardId shard) {
        List<Runner> runners = directory.runnersOf(shard);
        lock.lock();
        try {
            ledger.setRunners(shard, runners);
            runners.stream().findFirst().ifPresent(runner -> grantWaitingLocked(runner.service()));
        } finally {
            lock.unlock();
        }
    }

    private void grantWaiting(ServiceName service) {
        lock.lock();
        try {
            grantWaitingLocked(service);
        } finally {
            lock.unlock();
        }
    }

    private void grantWaitingLocked(ServiceName service) {
        boolean more = true;
        while (more) {
            more = reserveForPeerLocked(service) || grantFirstLocked(service);
        }
    }

    /** Returns false if nothing waits or no slot is free. */
    private boolean grantFirstLocked(ServiceName service) {
        AdmissionQueue<SlotWaiter> queue = stateOf(service).queue;
        Optional<AdmissionQueue.Entry<SlotWaiter>> first = queue.first();
        if (first.isEmpty()) {
            return false;
        }
        SlotWaiter waiter = first.get().item();
        Optional<SlotLease> lease = acquireLocked(newGrantId(), service, self, waiter.excluded());
        if (lease.isEmpty()) {
            return false;
        }
        queue.remove(first.get());
        waiting--;
        waiter.grant(own(lease.get()));
        return true;
    }

    private int slotsServing(ServiceName service) {
        int own = ledger.capacityOf(service);
        return own > 0
                ? own
                : directory.acceptingRunnersOf(service).stream()
                        .mapToInt(Runner::slots)
                        .sum();
    }

    private ServiceState stateOf(ServiceName service) {
        return services.computeIfAbsent(service, name -> new ServiceState());
    }

    private void requireStanding() throws RequestException {
        if (cluster.standing() == Standing.ISOLATED) {
            throw RequestException.notRun(
                    RequestErrorCode.NOT_READY, "this node lost contact with the platform and its peers");
        }
    }

    private static long newGrantId() {
        return ThreadLocalRandom.current().nextLong();
    }

    /**
     * A snapshot for operators.
     *
     * @param runners load of the owned runners
     * @param openUses slots in use, those lent to other nodes included
     * @param waiting requests that wait for a slot
     * @param ejected runners that are ejected for failures
     */
    public record Snapshot(List<SlotLedger.RunnerLoad> runners, int openUses, int waiting, int ejected) {}

    /** Returns a snapshot for operators. */
    public Snapshot snapshot() {
        lock.lock();
        try {
            return new Snapshot(
                    ledger.loads(Optional.empty(), clock.nowNanos()),
                    ledger.openUses(),
                    waiting,
                    outliers.ejectedCount());
        } finally {
            lock.unlock();
        }
    }
}
