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
 * Borrows slots from the nodes that own the other runner groups, and reports to them.
 *
 * <p>Thread-safe; calls of peers block the calling thread.
 */
@Singleton
public final class SlotPeerClient {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Peers that one attempt asks at most. */
    private static final int MAX_PEERS_PER_BORROW = 3;

    /** Time for which a peer that could not be reached is not asked. */
    private static final Duration UNREACHABLE_BACK_OFF = Duration.ofSeconds(1);

    private static final int REPORT_ATTEMPTS = 3;

    private final Cluster cluster;
    private final PeerCaller peers;
    private final MonotonicClock clock;
    private final EntrySettings settings;
    private final Map<BackOffKey, Long> backOffUntilNanos = new ConcurrentHashMap<>();

    /** Creates the lending over the node's peer connections. */
    @Inject
    public SlotPeerClient(Cluster cluster, PeerCaller peers, MonotonicClock clock, EntrySettings settings) {
        this.cluster = cluster;
        this.peers = peers;
        this.clock = clock;
        this.settings = settings;
    }

    private record BackOffKey(NodeId node, ServiceName service) {}

    /** Asks the owners of the groups for a slot, those of the own data centre first. */
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

    /** Asks one owner for a slot. */
    Optional<HeldSlot> borrowFrom(NodeId owner, ServiceName service, Duration remaining, Set<RunnerId> excluded) {
        long grantId = ThreadLocalRandom.current().nextLong();
        return requestSlot(owner, new SlotMessages.BorrowSlot(grantId, service, remaining.toMillis(), excluded));
    }

    /** Tells a peer that a slot is reserved for it, and returns once it has borrowed it or does not want it. */
    void notifySlotFree(NodeId peer, ServiceName service) {
        try {
            peers.call(
                    peer, new SlotMessages.SlotFree(service), settings.cluster().requestTimeout());
        } catch (PeerException e) {
            LOG.atFine().withCause(e).log("free slot not offered to %s", peer);
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
            LOG.atFine().withCause(e).log("no slot borrowed from %s", owner);
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
            LOG.atFine().withCause(e).log("grant not cancelled at %s", owner);
        }
    }

    /** The request is cut off by its end on this node's clock, counted from before the owner granted the slot. */
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
     * Reports to the owner of the group in the background. A lost report costs capacity for a while, never safety: the owner
     * counts the slot until the request has surely ended.
     *
     * @param lender node that lent the slot, asked if no owner is known
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
                LOG.atFine().withCause(e).log("slot not returned to %s", owner.get());
            }
        }
    }
}
