package org.tamarackline.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A bounded queue of requests that wait for a slot, ordered by deadline.
 *
 * <p>A request that cannot be completed by its deadline is rejected before it is queued, so that it takes up neither a place
 * in the queue nor a runner for a response that nobody uses.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 *
 * @param <T> type of the queued items
 */
public final class AdmissionQueue<T> {

    private final int capacity;
    private final TreeSet<Entry<T>> entries = new TreeSet<>(Comparator.<Entry<T>>naturalOrder());
    private long sequence;

    /** Creates a queue of at most {@code capacity} entries. */
    public AdmissionQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * The result of offering a request.
     *
     * @param <T> type of the queued items
     */
    public sealed interface Offer<T> {
        /**
         * The request was queued.
         *
         * @param <T> type of the queued items
         * @param entry entry of the request, by which it can be removed
         */
        record Queued<T>(Entry<T> entry) implements Offer<T> {}

        /**
         * The queue is full.
         *
         * @param <T> type of the queued items
         */
        record Full<T>() implements Offer<T> {}

        /**
         * The request cannot be completed by its deadline.
         *
         * @param <T> type of the queued items
         * @param expectedWaitNanos expected time until the request would get a slot
         */
        record DeadlineUnreachable<T>(long expectedWaitNanos) implements Offer<T> {}
    }

    /**
     * A waiting request.
     *
     * @param <T> type of the queued items
     * @param deadlineNanos time by which the response has to be complete
     * @param sequence order of arrival, by which requests with equal deadlines are sorted
     * @param item the request
     */
    public record Entry<T>(long deadlineNanos, long sequence, T item) implements Comparable<Entry<T>> {
        @Override
        public int compareTo(Entry<T> other) {
            int byDeadline = Long.signum(deadlineNanos - other.deadlineNanos);
            return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Queues a request, unless the queue is full or the request cannot be completed by its deadline.
     *
     * @param slots number of slots that serve this queue
     * @param serviceTimeNanos average time for which a request occupies a slot
     */
    public Offer<T> offer(T item, long deadlineNanos, long nowNanos, int slots, long serviceTimeNanos) {
        Entry<T> entry = new Entry<>(deadlineNanos, sequence++, item);
        int ahead = entries.headSet(entry).size();
        long expectedWaitNanos = expectedWaitNanos(ahead, slots, serviceTimeNanos);
        if (deadlineNanos - nowNanos - expectedWaitNanos - serviceTimeNanos <= 0) {
            return new Offer.DeadlineUnreachable<>(expectedWaitNanos);
        }
        if (entries.size() >= capacity) {
            return new Offer.Full<>();
        }
        entries.add(entry);
        return new Offer.Queued<>(entry);
    }

    /** Returns the request with the earliest deadline without removing it. */
    public Optional<Entry<T>> peek() {
        return entries.isEmpty() ? Optional.empty() : Optional.of(entries.first());
    }

    /** Removes a request. Returns whether it was still waiting. */
    public boolean remove(Entry<T> entry) {
        return entries.remove(entry);
    }

    /** Removes and returns the requests that can no longer be completed by their deadline. */
    public List<T> removeUnservable(long nowNanos, long serviceTimeNanos) {
        List<T> unservable = new ArrayList<>();
        while (!entries.isEmpty() && entries.first().deadlineNanos() - nowNanos - serviceTimeNanos <= 0) {
            unservable.add(entries.pollFirst().item());
        }
        return unservable;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return entries.size();
    }

    /** Assumes that all slots are in use, so that one becomes free each time {@code serviceTimeNanos / slots} has passed. */
    private static long expectedWaitNanos(int ahead, int slots, long serviceTimeNanos) {
        return (ahead + 1L) * serviceTimeNanos / Math.max(1, slots);
    }
}
