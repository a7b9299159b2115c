package org.tamarackline.fleet;

import java.util.List;
import java.util.OptionalLong;

/**
 * What a node knows about a leader that it suspects, for the log.
 *
 * @param pingFailures what became of each ping since the last answered one
 * @param sinceAnswerMs time since the last answered ping, in milliseconds; empty if none was answered
 * @param leaderStoreAgeMs time since the store's last response to the leader, as of the last answered ping, in
 *     milliseconds; empty if none was answered
 * @param leaderUnansweredWritesMs time for which the store had answered no transaction of the leader, as of the last
 *     answered ping, in milliseconds; empty if none was answered
 * @param ownLoopDelayMs longest delay of a step of this node's event loop since the last answered ping, in milliseconds
 */
record LeaderSuspicion(
        List<String> pingFailures,
        OptionalLong sinceAnswerMs,
        OptionalLong leaderStoreAgeMs,
        OptionalLong leaderUnansweredWritesMs,
        long ownLoopDelayMs) {

    /** Copies the list, so that later changes to it do not affect the record. */
    LeaderSuspicion {
        pingFailures = List.copyOf(pingFailures);
    }
}
