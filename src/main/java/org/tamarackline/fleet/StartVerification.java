package org.tamarackline.fleet;

/**
 * Tells whether a runner's process is known to be the one that received all starts: a poll that was sent after the last
 * of them was answered, and none is without a response.
 *
 * <p>Otherwise the runner may have restarted unnoticed, and the new process may have accepted a start.
 */
final class StartVerification {

    private int unansweredStarts;
    private boolean startedSinceAnsweredPoll;
    private long lastStartNanos;

    void onStartSent(long nowNanos) {
        unansweredStarts++;
        startedSinceAnsweredPoll = true;
        lastStartNanos = nowNanos;
    }

    void onStartCompleted() {
        unansweredStarts--;
    }

    /**
     * Records the response to a poll.
     *
     * @param sentNanos when the poll was sent
     */
    void onPollAnswered(long sentNanos) {
        if (unansweredStarts == 0 && sentNanos - lastStartNanos > 0) {
            startedSinceAnsweredPoll = false;
        }
    }

    boolean allVerified() {
        return !startedSinceAnsweredPoll;
    }
}
