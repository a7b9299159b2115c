package org.tamarackline.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;

/** Processed ends of a runner's process that are not known to be stored, with the jobs that they belong to. */
final class UnstoredEnds {

    private record End(long sequenceNumber, String job) {}

    private final Deque<End> ends = new ArrayDeque<>();

    /** Adds an end; sequence numbers ascend. */
    void add(long sequenceNumber, String job) {
        ends.addLast(new End(sequenceNumber, job));
    }

    /** Removes the ends up to a sequence number, because they are stored. */
    void removeUpTo(long sequenceNumber) {
        while (!ends.isEmpty() && ends.getFirst().sequenceNumber() <= sequenceNumber) {
            ends.removeFirst();
        }
    }

    /** Removes all ends, because the runner has another process. */
    void clear() {
        ends.clear();
    }

    /**
     * Returns the highest sequence number up to which no end belongs to a dirty job.
     *
     * @param lastProcessed highest sequence number that was processed
     */
    long lastBeforeDirtyJob(long lastProcessed, Predicate<String> dirty) {
        for (End end : ends) {
            if (dirty.test(end.job())) {
                return end.sequenceNumber() - 1;
            }
        }
        return lastProcessed;
    }
}
