package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.List;

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
 * @param possiblyActive earlier leaders that may still give orders, with different addresses
 */
record LeaderRecord(
        long epoch,
        String node,
        String address,
        long incarnation,
        boolean resigned,
        List<EarlierLeader> possiblyActive) {

    /** Key of the record, which sorts before all identifiers of jobs. */
    static final String KEY = "!leader";

    /** Creates a record that later changes of the list do not affect. */
    LeaderRecord {
        possiblyActive = List.copyOf(possiblyActive);
    }

    /**
     * A leader that was replaced.
     *
     * @param epoch highest epoch that was led from its address
     * @param address where other nodes reach it
     */
    record EarlierLeader(long epoch, String address) {}

    /**
     * Returns the record with which the leader gives up its role.
     *
     * @param earlierLeadersEnded whether all leaders before it are known to have ended
     */
    LeaderRecord asResigned(boolean earlierLeadersEnded) {
        return new LeaderRecord(
                epoch, node, address, incarnation, true, earlierLeadersEnded ? List.of() : possiblyActive);
    }

    /** Returns the leaders that may still give orders when the leader at an address replaces this one. */
    List<EarlierLeader> possiblyActiveAfter(String successorAddress) {
        List<EarlierLeader> leaders = new ArrayList<>(possiblyActive);
        leaders.removeIf(earlier -> earlier.address().equals(address));
        leaders.add(new EarlierLeader(epoch, address));
        // Only one process has the address of the successor, and it leads with no other epoch.
        leaders.removeIf(earlier -> earlier.address().equals(successorAddress));
        return leaders;
    }
}
