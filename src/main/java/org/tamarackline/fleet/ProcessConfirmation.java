package org.tamarackline.fleet;

import java.util.function.LongPredicate;

/**
 * Tells whether the store has confirmed the leader since it learned of a runner's current process.
 *
 * <p>Without such a confirmation a successor may have learned more of the earlier process, and the current one may have
 * forgotten that it had accepted the successor's epoch.
 */
final class ProcessConfirmation {

    private boolean learned;
    private long processStartEpochMs;
    private long learnedNanos;
    private boolean confirmed;
    private boolean answeredPoll;
    private long answeredPollNanos;

    /** Records the process that has answered; returns whether it is another one than before. */
    boolean learn(long startEpochMs, long nowNanos) {
        if (is(startEpochMs)) {
            return false;
        }
        learned = true;
        processStartEpochMs = startEpochMs;
        learnedNanos = nowNanos;
        confirmed = false;
        answeredPoll = false;
        return true;
    }

    /**
     * Records that the current process has answered a poll.
     *
     * @param sentNanos when the poll was sent
     */
    void onPollAnswered(long sentNanos) {
        if (!answeredPoll || sentNanos - answeredPollNanos > 0) {
            answeredPoll = true;
            answeredPollNanos = sentNanos;
        }
    }

    /** Returns whether the process is confirmed and has answered a poll that was sent no earlier than a time. */
    boolean answeredSince(long nanos) {
        return confirmed && answeredPoll && answeredPollNanos - nanos >= 0;
    }

    /**
     * Checks whether the process is confirmed now; returns whether it has become so.
     *
     * @param confirmedSince tells whether the leader was confirmed by a request sent after a time
     */
    boolean confirm(LongPredicate confirmedSince) {
        if (!learned || confirmed || !confirmedSince.test(learnedNanos)) {
            return false;
        }
        confirmed = true;
        return true;
    }

    /** Returns whether a process is the one that answered last. */
    boolean is(long startEpochMs) {
        return learned && startEpochMs == processStartEpochMs;
    }

    boolean confirmed() {
        return confirmed;
    }
}
