package org.tamarackline.fleet;

/**
 * Number of a leader's transactions so far, as stored with each of them.
 *
 * <p>Each transaction requires the version that the one before left. A transaction whose answer was lost can therefore not
 * take effect after a later one.
 *
 * @param epoch fencing token of the leader
 * @param number transactions of this leader
 * @param endedBelowEpoch all leaders of lower epochs than this are known to have ended
 */
record CommitSequence(long epoch, long number, long endedBelowEpoch) {

    /** Key of the record in the table of progress, which sorts before all identifiers of jobs. */
    static final String KEY = "!sequence";
}
