package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.routing.SlotLease;

/**
 * The refused borrow requests of peers, and the slots that are reserved for these peers.
 *
 * <p>Without this queue, a node that owns no runners would get no slots while the owners are busy, because each released slot
 * would go to a request that waits at its owner. Not thread-safe: guarded by the lock of {@link SlotAllocator}.
 */
final class PeerBorrowQueue {

    /** Time after which a borrow request that was not repeated expires; a waiting request repeats it more often. */
    private static final Duration ENTRY_TTL = Duration.ofMillis(200);

    private final Map<Key, QueuedBorrow> queued = new HashMap<>();
    private final Map<Key, SlotLease> reserved = new HashMap<>();

    /**
     * A peer that waits for slots of a service.
     *
     * @param peer node that needs a slot
     * @param service service that the slot is for
     */
    record Key(NodeId peer, ServiceName service) {}

    private record QueuedBorrow(long deadlineNanos, long expiresNanos) {}

    /** Adds a refused borrow request for a request with this deadline, or renews the one of the same key. */
    void enqueue(Key key, long deadlineNanos, long nowNanos) {
        queued.put(key, new QueuedBorrow(deadlineNanos, nowNanos + ENTRY_TTL.toNanos()));
    }

    /**
     * Returns the borrow request of the service with the earliest deadline that has no reserved slot, if its deadline is
     * earlier than that of the first local request.
     */
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

    /** Replaces a borrow request by a reserved slot. */
    void reserve(Key key, SlotLease lease) {
        queued.remove(key);
        reserved.put(key, lease);
    }

    /** Removes a borrow request for which no slot is free. */
    void remove(Key key) {
        queued.remove(key);
    }

    /** Removes and returns the reserved slot of a peer, if there is one. */
    Optional<SlotLease> takeReserved(Key key) {
        return Optional.ofNullable(reserved.remove(key));
    }

    /** Cancels this reservation. Returns false if the slot has been taken. */
    boolean cancelReservation(Key key, SlotLease lease) {
        return reserved.remove(key, lease);
    }
}
