package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.routing.AdmissionQueue;

/**
 * The local requests that wait for a slot: one queue for each service, with a common limit. Not thread-safe: guarded by the
 * lock of {@link SlotAllocator}.
 */
final class SlotQueues {

    private final int maxWaiting;
    private final Map<ServiceName, AdmissionQueue<SlotWaiter>> queues = new HashMap<>();
    private int waiting;

    /**
     * Creates empty queues.
     *
     * @param maxWaiting most requests that may wait at a time, in total and for one service
     */
    SlotQueues(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    /**
     * Adds a request.
     *
     * @param slots number of slots that serve the service
     * @param meanServiceNanos mean time of a request on a slot, 0 if unknown
     * @throws RequestException if too many requests wait, or if the expected wait is too long for the deadline
     */
    AdmissionQueue.Entry<SlotWaiter> add(
            ServiceName service, SlotWaiter waiter, long deadlineNanos, long nowNanos, int slots, long meanServiceNanos)
            throws RequestException {
        if (waiting >= maxWaiting) {
            throw tooManyWait();
        }
        AdmissionQueue.Offer<SlotWaiter> offer =
                queueOf(service).offer(waiter, deadlineNanos, nowNanos, slots, meanServiceNanos);
        return switch (offer) {
            case AdmissionQueue.Offer.Queued<SlotWaiter> queued -> {
                waiting++;
                yield queued.entry();
            }
            case AdmissionQueue.Offer.Full<SlotWaiter> full -> throw tooManyWait();
            case AdmissionQueue.Offer.DeadlineUnreachable<SlotWaiter> unreachable ->
                throw RequestException.notExecuted(
                        RequestErrorCode.OVERLOADED,
                        "the expected wait of %d ms for a slot is too long for the deadline"
                                .formatted(Duration.ofNanos(unreachable.expectedWaitNanos())
                                        .toMillis()));
        };
    }

    private static RequestException tooManyWait() {
        return RequestException.notExecuted(RequestErrorCode.OVERLOADED, "too many requests are waiting for a slot");
    }

    /** Removes a request if it still waits. */
    void remove(ServiceName service, AdmissionQueue.Entry<SlotWaiter> entry) {
        if (queueOf(service).remove(entry)) {
            waiting--;
        }
    }

    /** Returns the waiting request of the service with the earliest deadline. */
    Optional<AdmissionQueue.Entry<SlotWaiter>> peek(ServiceName service) {
        return queueOf(service).peek();
    }

    /** Returns whether no request of the service waits. */
    boolean isEmpty(ServiceName service) {
        return queueOf(service).size() == 0;
    }

    /** Returns the services that have a queue, which may be empty. */
    List<ServiceName> services() {
        return List.copyOf(queues.keySet());
    }

    /** Returns the number of requests that wait. */
    int waiting() {
        return waiting;
    }

    private AdmissionQueue<SlotWaiter> queueOf(ServiceName service) {
        return queues.computeIfAbsent(service, name -> new AdmissionQueue<>(maxWaiting));
    }
}
