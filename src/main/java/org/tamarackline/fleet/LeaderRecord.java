package org.tamarackline.fleet;

/**
 * Who leads, as stored.
 *
 * <p>The record lies in the table of jobs, so that a leader that follows this table learns of its successor before it
 * learns of jobs accepted later.
 *
 * @param epoch fencing token of the leader, from 1
 * @param node name of the leader's node
 * @param address where other nodes reach the leader
 * @param incarnation number that the leader's process drew at its start, which tells it from other processes of the node
 * @param resigned whether the leader has given up its role
 */
record LeaderRecord(long epoch, String node, String address, long incarnation, boolean resigned) {

    /** Key of the record, which sorts before all identifiers of jobs. */
    static final String KEY = "!leader";

    /** Returns the record with which the leader gives up its role. */
    LeaderRecord asResigned() {
        return new LeaderRecord(epoch, node, address, incarnation, true);
    }
}
