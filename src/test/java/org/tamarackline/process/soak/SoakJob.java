package org.tamarackline.process.soak;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A job that a node has accepted.
 *
 * @param longRunning whether its tasks run until it is cancelled
 * @param acceptedNanos when the acceptance was received
 * @param cancelledNanos when its cancellation was first sent, the greatest value if it was not
 * @param cancelAnsweredNanos when an answer was received that it is cancelled or does not exist, the greatest value if
 *     none was
 */
record SoakJob(
        String id, int tasks, boolean longRunning, long acceptedNanos, long cancelledNanos, long cancelAnsweredNanos) {

    static SoakJob accepted(String id, int tasks, boolean longRunning, long acceptedNanos) {
        return new SoakJob(id, tasks, longRunning, acceptedNanos, Long.MAX_VALUE, Long.MAX_VALUE);
    }

    SoakJob cancelledAt(long nanos) {
        return new SoakJob(id, tasks, longRunning, acceptedNanos, nanos, cancelAnsweredNanos);
    }

    SoakJob cancelAnsweredAt(long nanos) {
        return new SoakJob(id, tasks, longRunning, acceptedNanos, cancelledNanos, nanos);
    }

    boolean cancelAnswered() {
        return cancelAnsweredNanos != Long.MAX_VALUE;
    }

    boolean cancelled() {
        return cancelledNanos != Long.MAX_VALUE;
    }

    /** Returns the names of the tasks as runners know them. */
    List<String> taskNames() {
        return IntStream.range(0, tasks).mapToObj(index -> id + ".0.0." + index).toList();
    }
}
