package org.tamarackline.process.soak;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A job that a node has accepted.
 *
 * @param longRunning whether its tasks run until it is cancelled
 * @param acceptedNanos when the acceptance was received
 * @param cancelledNanos when its cancellation was sent, the greatest value if it was not
 */
record SoakJob(String id, int tasks, boolean longRunning, long acceptedNanos, long cancelledNanos) {

    SoakJob cancelledAt(long nanos) {
        return new SoakJob(id, tasks, longRunning, acceptedNanos, nanos);
    }

    boolean cancelled() {
        return cancelledNanos != Long.MAX_VALUE;
    }

    /** Returns the names of the tasks as runners know them. */
    List<String> taskNames() {
        return IntStream.range(0, tasks).mapToObj(index -> id + ".0.0." + index).toList();
    }
}
