package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.routing.SlotLease;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.cluster.Member;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.settings.EntrySettings;

/**
 * Calls peers about slots: borrows slots from the nodes that own other runner groups, reports on them, and notifies peers
 * of slots that are reserved for them. {@link SlotPeerHandler} handles these calls.
 *
 * <p>Thread-safe. Calls block the calling thread.
 */
@Singleton
public final class SlotPeerClient {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Most peers that one call of {@link #borrow} sends requests to. */
    private static final int MAX_PEERS_PER_BORROW = 3;

    /** Time for which no borrow request is sent to a peer that could not be reached. */
    private static final Duration UNREACHABLE_BACK_OFF = Duration.ofSeconds(1);

    private static final int REPORT_ATTEMPTS = 3;

    private final Cluster cluster;
    private final PeerCaller peers;
    private final MonotonicClock clock;
    private final EntrySettings settings;
    private final Map<BackOffKey, Long> backOffUntilNanos = new ConcurrentHashMap<>();

    /** Creates the client. */
    @Inject
    public SlotPeerClient(Cluster cluster, PeerCaller peers, MonotonicClock clock, EntrySettings settings) {
        this.cluster = cluster;
        this.peers = peers;
        this.clock = clock;
        this.settings = settings;
    }

    private record BackOffKey(NodeId node, ServiceName service) {}

    /** Tries to borrow a slot from the owners of the groups, those in the data centre of this node first. */
    public Optional<HeldSlot> borrow(
            List<ShardId> shards, ServiceName service, Duration remaining, Set<RunnerId> excluded) {
        long deadlineNanos = clock.nowNanos() + remaining.toNanos();
        int asked = 0;
        for (NodeId owner : availableOwners(shards, service)) {
            if (asked++ == MAX_PEERS_PER_BORROW) {
                break;
            }
            long remainingMs =
                    Duration.ofNanos(deadlineNanos - clock.nowNanos()).toMillis();
            long grantId = ThreadLocalRandom.current().nextLong();
            Optional<HeldSlot> slot =
                    requestSlot(owner, new SlotMessages.BorrowSlot(grantId, service, remainingMs, excluded));
            if (slot.isPresent()) {
                return slot;
            }
        }
        return Optional.empty();
    }

    /** Tries to borrow a slot from one owner. */
    Optional<HeldSlot> borrowFrom(NodeId owner, ServiceName service, Duration remaining, Set<RunnerId> excluded) {
        long grantId = ThreadLocalRandom.current().nextLong();
        return requestSlot(owner, new SlotMessages.BorrowSlot(grantId, service, remaining.toMillis(), excluded));
    }

    /** Notifies a peer that a slot is reserved for it. Returns once the peer has borrowed the slot or does not need it. */
    void notifySlotFree(NodeId peer, ServiceName service) {
        try {
            peers.call(
                    peer, new SlotMessages.SlotFree(service), settings.cluster().requestTimeout());
        } catch (PeerException e) {
            LOG.atFine().withCause(e).log("could not notify %s of a free slot", peer);
        }
    }

    private List<NodeId> availableOwners(List<ShardId> shards, ServiceName service) {
        Set<NodeId> owners = new LinkedHashSet<>();
        shards.forEach(shard -> cluster.ownerOf(shard).ifPresent(owners::add));
        if (owners.isEmpty()) {
            return List.of();
        }
        List<NodeId> sameDataCentre = new ArrayList<>();
        List<NodeId> otherDataCentres = new ArrayList<>();
        for (Member member : cluster.peers()) {
            if (owners.contains(member.node()) && isAvailable(member.node(), service)) {
                boolean isSameDataCentre = member.dataCentre().equals(settings.dataCentre());
                (isSameDataCentre ? sameDataCentre : otherDataCentres).add(member.node());
            }
        }
        Collections.shuffle(sameDataCentre);
        Collections.shuffle(otherDataCentres);
        sameDataCentre.addAll(otherDataCentres);
        return sameDataCentre;
    }

    private boolean isAvailable(NodeId node, ServiceName service) {
        Long untilNanos = backOffUntilNanos.get(new BackOffKey(node, service));
        return untilNanos == null || clock.nowNanos() - untilNanos >= 0;
    }

    private void backOff(NodeId node, ServiceName service, Duration duration) {
        backOffUntilNanos.put(new BackOffKey(node, service), clock.nowNanos() + duration.toNanos());
    }

    private Optional<HeldSlot> requestSlot(NodeId owner, SlotMessages.BorrowSlot request) {
        Duration timeout = callTimeout(request);
        if (!timeout.isPositive()) {
            return Optional.empty();
        }
        long callStartNanos = clock.nowNanos();
        try {
            return switch (peers.call(owner, request, timeout)) {
                case SlotMessages.SlotGrant grant -> Optional.of(toHeldSlot(grant, owner, callStartNanos));
                case SlotMessages.NoSlot none -> {
                    backOff(owner, request.service(), Duration.ofMillis(none.retryAfterMs()));
                    yield Optional.empty();
                }
                case PeerMessage other -> Optional.empty();
            };
        } catch (PeerException e) {
            LOG.atFine().withCause(e).log("could not borrow a slot from %s", owner);
            backOff(owner, request.service(), UNREACHABLE_BACK_OFF);
            cancelLostGrant(owner, request, e.reason());
            return Optional.empty();
        }
    }

    private void cancelLostGrant(NodeId owner, SlotMessages.BorrowSlot request, PeerException.Reason reason) {
        if (reason == PeerException.Reason.TIMEOUT || reason == PeerException.Reason.BROKEN) {
            Thread.ofVirtual().start(() -> sendCancel(owner, new SlotMessages.CancelBorrow(request.grantId())));
        }
    }

    private void sendCancel(NodeId owner, SlotMessages.CancelBorrow message) {
        try {
            peers.call(owner, message, settings.cluster().requestTimeout());
        } catch (PeerException e) {
            LOG.atFine().withCause(e).log("could not cancel a slot grant at %s", owner);
        }
    }

    /**
     * Returns the granted slot. Its abort deadline counts from the start of the call on this node's clock, so that the request
     * ends before the owner, which granted the slot later, expires the use.
     */
    private HeldSlot toHeldSlot(SlotMessages.SlotGrant grant, NodeId owner, long callStartNanos) {
        long abortDeadlineNanos =
                callStartNanos + settings.requests().requestLimit().toNanos();
        SlotLease lease = new SlotLease(grant.grantId(), grant.shard(), grant.runner());
        return new HeldSlot(lease, Optional.of(owner), abortDeadlineNanos);
    }

    private Duration callTimeout(SlotMessages.BorrowSlot request) {
        Duration remaining = Duration.ofMillis(request.remainingMs());
        Duration limit = settings.cluster().requestTimeout();
        return remaining.compareTo(limit) < 0 ? remaining : limit;
    }

    /**
     * Reports on a used slot to the owner of its group in the background. A lost report only reduces the capacity for a while:
     * the owner counts the slot as used until the request has certainly ended.
     *
     * @param lender node that lent the slot, which gets the report if no owner is known
     */
    public void report(SlotMessages.ReturnSlot report, Optional<NodeId> lender) {
        Thread.ofVirtual().start(() -> deliverReport(report, lender));
    }

    private void deliverReport(SlotMessages.ReturnSlot report, Optional<NodeId> lender) {
        for (int attempt = 0; attempt < REPORT_ATTEMPTS; attempt++) {
            Optional<NodeId> owner = cluster.ownerOf(report.shard())
                    .filter(node -> !node.equals(cluster.self()))
                    .or(() -> lender);
            if (owner.isEmpty()) {
                return;
            }
            try {
                peers.call(owner.get(), report, settings.cluster().requestTimeout());
                return;
            } catch (PeerException e) {
                LOG.atFine().withCause(e).log("could not report on a slot to %s", owner.get());
            }
        }
    }
}
