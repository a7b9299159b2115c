package org.tamarackline.fleet;

import org.tamarackline.core.fleet.FleetLoad;

/**
 * State of a node's leader at one time, for the metrics. Immutable, so that another thread may read it.
 *
 * @param sampledNanos when the sample was taken, on the steady clock of the node
 * @param epoch fencing token of the leader, 0 if the node does not lead
 * @param ready whether the leader starts tasks: it has read the state, has not resigned, and the store has confirmed it
 *     recently enough
 * @param load work of the fleet
 * @param silentRunners runners that did not answer the last poll
 * @param unansweredStarts start requests without a response
 * @param confirmationAgeNanos time since the store last confirmed the leader, in nanoseconds
 * @param leaseLimitMs time until the lease limit, in milliseconds; 0 if it is unknown
 * @param unansweredWritesMs time for which the store has answered no transaction of the node, in milliseconds
 */
public record LeaderSample(
        long sampledNanos,
        long epoch,
        boolean ready,
        FleetLoad load,
        int silentRunners,
        int unansweredStarts,
        long confirmationAgeNanos,
        long leaseLimitMs,
        long unansweredWritesMs) {

    /** Sample of a node that does not lead. */
    static final LeaderSample NOT_LEADING = new LeaderSample(0, 0, false, FleetLoad.NONE, 0, 0, 0, 0, 0);

    boolean leading() {
        return epoch > 0;
    }
}
