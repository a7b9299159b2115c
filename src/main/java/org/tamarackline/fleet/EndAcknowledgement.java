package org.tamarackline.fleet;

/**
 * Tracks which ended runs a runner may discard.
 *
 * <p>A poll cannot name the process that it is meant for, and a restarted process numbers its ends anew, so an
 * acknowledgement that reaches another process discards ends that nobody has processed. Therefore a poll acknowledges
 * ends only while the runner's current process can have no run that was started after the last answered poll, and only
 * until one such poll was answered.
 */
final class EndAcknowledgement {

    private long storedEnd;
    private long discardedEnd;
    private int unansweredStarts;
    private boolean startedSinceAnsweredPoll;
    private long lastStartNanos;

    /** Forgets the ends of the previous process. */
    void onProcessChanged() {
        storedEnd = 0;
        discardedEnd = 0;
    }

    /** Records that the ends of the current process are stored up to a sequence number. */
    void onEndsStored(long sequenceNumber) {
        storedEnd = Math.max(storedEnd, sequenceNumber);
    }

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
     * @param acknowledgedEnd sequence number that it acknowledged, 0 for none
     */
    void onPollAnswered(long sentNanos, long acknowledgedEnd) {
        discardedEnd = Math.max(discardedEnd, acknowledgedEnd);
        if (unansweredStarts == 0 && sentNanos - lastStartNanos > 0) {
            startedSinceAnsweredPoll = false;
        }
    }

    /** Returns the sequence number that a poll may acknowledge now, 0 for none. */
    long next() {
        return due() && !startedSinceAnsweredPoll ? storedEnd : 0;
    }

    /** Returns whether there are stored ends that the runner is not known to have discarded. */
    boolean due() {
        return storedEnd > discardedEnd;
    }

    /** Returns whether all ends up to a sequence number are stored. */
    boolean storedUpTo(long sequenceNumber) {
        return storedEnd >= sequenceNumber;
    }
}
