package org.tamarackline.fleet;

/**
 * What keeps a leader from starting tasks, if anything does.
 *
 * @param epoch fencing token of the leader
 * @param ledMs time since its takeover, in milliseconds
 * @param openJobs jobs that have not reached their last state
 * @param readyTasks tasks without a run whose turn has come
 * @param heldTasks those of them that wait because a runner may run them unseen
 * @param unreportedRunners runners that earlier leaders used and that have not answered this one
 * @param silentRunners runners that left the last question unanswered
 * @param unansweredStarts starts whose answers are awaited
 * @param loopDelayMs longest time by which a step of the event loop was late since the last report, in milliseconds
 * @param storeAgeMs time since the store last answered, in milliseconds
 */
record LeaderState(
        long epoch,
        long ledMs,
        int openJobs,
        int readyTasks,
        int heldTasks,
        int unreportedRunners,
        int silentRunners,
        int unansweredStarts,
        long loopDelayMs,
        long storeAgeMs) {}
