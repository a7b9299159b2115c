package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.routing.SlotLease;

/**
 * Peers that were refused a slot, and slots that are reserved for them.
 *
 * <p>Without claims a node without runners of its own would get nothing while the owners are busy, because each freed slot
 * goes to a request that waits at its owner. Not thread-safe: guarded by the lock of the slot allocator.
 */
final class PeerBorrowQueue {

    /** Time after which a claim that was not renewed is forgotten; a waiting request renews it more often. */
    private static final Duration ENTRY_TTL = Duration.ofMillis(200);

    private final Map<Key, QueuedBorrow> queued = new HashMap<>();
    private final Map<Key, SlotLease> reserved = new HashMap<>();

    /**
     * A peer that waits for slots of a service.
     *
     * @param peer the peer
     * @param service the service
     */
    record Key(NodeId peer, ServiceName service) {}

    private record QueuedBorrow(long deadlineNanos, long expiresNanos) {}

    /** Notes that {@code key} was refused for a request with this deadline. */
    void enqueue(Key key, long deadlineNanos, long nowNanos) {
        queued.put(key, new QueuedBorrow(deadlineNanos, nowNanos + ENTRY_TTL.toNanos()));
    }

    /** Returns the claim with the earliest deadline that no slot is reserved for, if it comes before the own request. */
    Optional<Key> firstBefore(ServiceName service, Optional<Long> localDeadlineNanos, long nowNanos) {
        queued.values().removeIf(borrow -> borrow.expiresNanos() - nowNanos <= 0);
        Key first = null;
        for (Map.Entry<Key, QueuedBorrow> entry : queued.entrySet()) {
            Key key = entry.getKey();
            boolean eligible = key.service().equals(service) && !reserved.containsKey(key);
            if (eligible && (first == null || deadlineOf(key) - deadlineOf(first) < 0)) {
                first = key;
            }
        }
        boolean isFirst =
                first != null && (localDeadlineNanos.isEmpty() || deadlineOf(first) - localDeadlineNanos.get() < 0);
        return isFirst ? Optional.of(first) : Optional.empty();
    }

    private long deadlineOf(Key key) {
        return queued.get(key).deadlineNanos();
    }

    /** Reserves a slot, which ends the claim. */
    void reserve(Key key, SlotLease lease) {
        queued.remove(key);
        reserved.put(key, lease);
    }

    /** Ends a claim that cannot be met. */
    void remove(Key key) {
        queued.remove(key);
    }

    /** Returns and ends the reservation. */
    Optional<SlotLease> takeReserved(Key key) {
        return Optional.ofNullable(reserved.remove(key));
    }

    /** Ends this reservation. Returns false if it was taken before. */
    boolean cancelReservation(Key key, SlotLease lease) {
        return reserved.remove(key, lease);
    }
}
