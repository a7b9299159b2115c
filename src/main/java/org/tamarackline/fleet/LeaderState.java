package org.tamarackline.fleet;

import java.util.OptionalLong;

/**
 * Snapshot of what may keep a leader from starting tasks, for the log.
 *
 * @param epoch fencing token of the leader
 * @param ledMs time since its takeover, in milliseconds
 * @param openJobs jobs that have not reached a terminal state
 * @param heldJobs jobs of which nothing starts because a record cannot be read
 * @param readyTasks tasks without a run whose dependencies are done
 * @param heldTasks ready tasks that wait because an unreported runner may already be running them
 * @param unreportedRunners runners that earlier leaders used and that have not reported to this one
 * @param silentRunners runners that did not answer the last poll
 * @param unansweredStarts start requests without a response
 * @param loopDelayMs longest delay of an event loop step since the last snapshot, in milliseconds
 * @param storeAgeMs time since the store's last response, in milliseconds
 * @param directoryAgeMs time since the read was sent by which runners are placed on, in milliseconds
 * @param leaseLimitMs time until the lease limit, in milliseconds; empty if it is unknown
 * @param leaseLimitAgeMs time since the write was sent that stored the lease limit last, in milliseconds; empty if this
 *     leader has stored none
 * @param unansweredWritesMs time for which the store has answered no transaction of the node, in milliseconds
 * @param waitingLongRunningTasks long-running tasks that have been ready for more than {@link
 *     FleetConstants#LONG_RUNNING_WAIT_TO_LOG} without a confirmed run
 */
record LeaderState(
        long epoch,
        long ledMs,
        int openJobs,
        int heldJobs,
        int readyTasks,
        int heldTasks,
        int unreportedRunners,
        int silentRunners,
        int unansweredStarts,
        long loopDelayMs,
        long storeAgeMs,
        long directoryAgeMs,
        OptionalLong leaseLimitMs,
        OptionalLong leaseLimitAgeMs,
        long unansweredWritesMs,
        int waitingLongRunningTasks) {}
