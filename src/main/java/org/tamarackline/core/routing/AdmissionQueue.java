package org.tamarackline.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Requests that wait for a slot, ordered by their deadline, with a bound on their number.
 *
 * <p>A request that cannot be answered by its deadline is shed before it is queued, so that it neither holds a place nor
 * occupies a runner for an answer that nobody uses.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 *
 * @param <T> what waits
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
     * @param <T> what waits
     */
    public sealed interface Offer<T> {
        /**
         * The request waits.
         *
         * @param <T> what waits
         * @param entry handle to remove it with
         */
        record Queued<T>(Entry<T> entry) implements Offer<T> {}

        /**
         * As many requests as allowed wait already.
         *
         * @param <T> what waits
         */
        record Full<T>() implements Offer<T> {}

        /**
         * The request would not be answered by its deadline.
         *
         * @param <T> what waits
         * @param expectedWaitNanos time that it would have waited for a slot
         */
        record DeadlineUnreachable<T>(long expectedWaitNanos) implements Offer<T> {}
    }

    /**
     * A waiting request.
     *
     * @param <T> what waits
     * @param deadlineNanos time by which the answer has to be complete
     * @param sequence order of arrival
     * @param item what waits
     */
    public record Entry<T>(long deadlineNanos, long sequence, T item) implements Comparable<Entry<T>> {
        @Override
        public int compareTo(Entry<T> other) {
            int byDeadline = Long.signum(deadlineNanos - other.deadlineNanos);
            return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Adds a request unless it is hopeless.
     *
     * @param slots slots that serve this queue
     * @param serviceTimeNanos measured time that a request occupies a slot
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

    /** Removes and returns the requests that can no longer be answered by their deadline. */
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

    /** With all slots busy, one of them becomes free every service time divided by the number of slots. */
    private static long expectedWaitNanos(int ahead, int slots, long serviceTimeNanos) {
        return (ahead + 1L) * serviceTimeNanos / Math.max(1, slots);
    }
}
