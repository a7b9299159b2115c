package org.tamarackline.fleet;

/**
 * Sequence number of a leader's transactions, stored with each of them.
 *
 * <p>Each transaction requires the version that the previous one wrote. A transaction whose response was lost can
 * therefore not take effect after a later one.
 *
 * @param epoch fencing token of the leader
 * @param number number of transactions of this leader so far
 * @param endedBelowEpoch all leaders with an epoch below this one are known to have ended
 */
record CommitSequence(long epoch, long number, long endedBelowEpoch) {

    /** Key of the record in the table of progress; sorts before all job identifiers. */
    static final String KEY = "!sequence";
}
