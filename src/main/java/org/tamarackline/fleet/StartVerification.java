package org.tamarackline.fleet;

/**
 * Tells whether a runner's process is known to be the one that received all starts: the known process has answered a
 * poll that was sent when none of them was without a response any more.
 *
 * <p>Otherwise the runner may have restarted unnoticed, and the new process may have accepted a start. A poll that was
 * sent earlier may have been answered before the start was executed, even if its response arrives later.
 */
final class StartVerification {

    private int unansweredStarts;
    private boolean startedSinceAnsweredPoll;
    /** Whether a start has got no response and no poll that was sent since has been answered. */
    private boolean responseMissing;
    /** When the last start was sent or completed, whichever is later. */
    private long lastChangeNanos;

    void onStartSent(long nowNanos) {
        unansweredStarts++;
        startedSinceAnsweredPoll = true;
        lastChangeNanos = nowNanos;
    }

    /**
     * Records that a start needs no response any more.
     *
     * @param answered whether it got one
     */
    void onStartCompleted(boolean answered, long nowNanos) {
        unansweredStarts--;
        responseMissing |= !answered;
        lastChangeNanos = nowNanos;
    }

    /**
     * Records the response to a poll.
     *
     * @param sentNanos when the poll was sent
     */
    void onPollAnswered(long sentNanos) {
        if (unansweredStarts == 0 && sentNanos - lastChangeNanos >= 0) {
            startedSinceAnsweredPoll = false;
            responseMissing = false;
        }
    }

    /**
     * Returns whether the runner has answered all starts, or a poll since. Otherwise it may have ended, and a poll must not
     * renew its lease, which each start has extended already.
     */
    boolean allAnswered() {
        return unansweredStarts == 0 && !responseMissing;
    }

    boolean allVerified() {
        return !startedSinceAnsweredPoll;
    }
}
