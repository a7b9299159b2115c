package org.tamarackline.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/** Processed ends of a runner's process that are not known to be stored. */
final class UnstoredEnds {

    private final Deque<RunnerStatus.EndedRun> ends = new ArrayDeque<>();

    /** Adds an end; sequence numbers ascend. */
    void add(RunnerStatus.EndedRun end) {
        ends.addLast(end);
    }

    /** Returns the ends of the runs of a job. */
    List<RunnerStatus.EndedRun> of(Job job) {
        return ends.stream().filter(end -> end.task().job().equals(job.id())).toList();
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
     * Returns the highest sequence number before the first end that is not stored yet.
     *
     * @param lastProcessed highest sequence number that was processed
     */
    long lastBefore(long lastProcessed, Predicate<RunnerStatus.EndedRun> unstored) {
        for (RunnerStatus.EndedRun end : ends) {
            if (unstored.test(end)) {
                return end.sequenceNumber() - 1;
            }
        }
        return lastProcessed;
    }
}
