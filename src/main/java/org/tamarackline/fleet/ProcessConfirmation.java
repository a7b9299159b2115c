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
    private long aliveNanos;
    private long aliveClockMs;

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
     * Records that the current process has answered a poll. A poll may wait at the runner for long; the runner's clock then
     * tells how much later than the poll the answer was written.
     *
     * @param sentNanos when the poll was sent
     * @param clockMs the runner's clock in the answer
     * @param nowNanos when the answer arrived
     */
    void onPollAnswered(long sentNanos, long clockMs, long nowNanos) {
        long writtenNanos = sentNanos;
        if (answeredPoll && clockMs >= aliveClockMs) {
            double elapsedNanos = (clockMs - aliveClockMs) * 1e6 / (1 + FleetConstants.MAX_CLOCK_DRIFT);
            // This node's clock may have stood still in between, or the runner's may be wrong.
            long laterNanos = Math.min(nowNanos - aliveNanos, (long) elapsedNanos);
            writtenNanos = Math.max(sentNanos, aliveNanos + laterNanos);
        }
        if (!answeredPoll || writtenNanos - aliveNanos > 0) {
            answeredPoll = true;
            aliveNanos = writtenNanos;
            aliveClockMs = clockMs;
        }
    }

    /** Returns whether the process is confirmed and known to have been alive at a time or later. */
    boolean aliveSince(long nanos) {
        return confirmed && answeredPoll && aliveNanos - nanos >= 0;
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

    /** Returns whether the process was learned of after a time. */
    boolean learnedSince(long nanos) {
        return learned && learnedNanos - nanos > 0;
    }

    boolean confirmed() {
        return confirmed;
    }
}
