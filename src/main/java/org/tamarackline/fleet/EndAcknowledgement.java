package org.tamarackline.fleet;

/**
 * Tracks which ended runs a runner may discard.
 *
 * <p>A poll cannot name the process that it is meant for, and a restarted process numbers its ends anew, so an
 * acknowledgement that reaches another process discards ends that nobody has processed. Therefore a poll acknowledges
 * ends only while all starts are verified, so that such a process has no ends, and only until one such poll was
 * answered.
 */
final class EndAcknowledgement {

    private long storedEnd;
    private long discardedEnd;
    /** When ends became due, or when the runner discarded some most recently; meaningful only while ends are due. */
    private long dueSinceNanos;

    /** Forgets the ends of the previous process. */
    void onProcessChanged() {
        storedEnd = 0;
        discardedEnd = 0;
    }

    /** Records that the ends of the current process are stored up to a sequence number. */
    void onEndsStored(long sequenceNumber, long nowNanos) {
        if (!due()) {
            dueSinceNanos = nowNanos;
        }
        storedEnd = Math.max(storedEnd, sequenceNumber);
    }

    /** Records that the runner answered a poll that acknowledged ends up to a sequence number, 0 for none. */
    void onPollAnswered(long acknowledgedEnd, long nowNanos) {
        if (acknowledgedEnd > discardedEnd) {
            discardedEnd = acknowledgedEnd;
            dueSinceNanos = nowNanos;
        }
    }

    /** Returns the sequence number that a poll may acknowledge now, 0 for none. */
    long next(boolean startsVerified) {
        return due() && startsVerified ? storedEnd : 0;
    }

    /** Returns whether there are stored ends that the runner is not known to have discarded. */
    boolean due() {
        return storedEnd > discardedEnd;
    }

    /**
     * Returns whether ends have been due for so long that the runner should get no starts until one poll has acknowledged
     * them.
     */
    boolean overdue(long nowNanos) {
        return due() && nowNanos - dueSinceNanos > FleetConstants.ACKNOWLEDGEMENT_OVERDUE.toNanos();
    }

    /** Returns whether all ends up to a sequence number are stored. */
    boolean storedUpTo(long sequenceNumber) {
        return storedEnd >= sequenceNumber;
    }
}
