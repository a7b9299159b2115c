package org.tamarackline.core.fleet;

import java.util.Collections;
import java.util.List;

/**
 * How much work a fleet has at one time.
 *
 * @param openJobs jobs without a stored terminal state
 * @param readyTasks tasks without a run whose dependencies are done
 * @param heldTasks ready tasks that wait because an unreported runner may already be running them
 * @param longestWaitNanos for each priority, the longest time for which a ready task has waited since it became ready or
 *     since its last confirmed run, in nanoseconds; 0 for a priority without ready tasks
 * @param startingRuns runs whose start is not confirmed
 * @param runningRuns runs that are confirmed and not being stopped
 * @param stoppingRuns runs that must end and whose end is not known
 * @param runners runners of the directory and the roster
 * @param unreportedRunners runners that earlier leaders used and that have not reported to this one
 */
public record FleetLoad(
        int openJobs,
        int readyTasks,
        int heldTasks,
        List<Long> longestWaitNanos,
        int startingRuns,
        int runningRuns,
        int stoppingRuns,
        int runners,
        int unreportedRunners) {

    /** Load of a fleet without jobs and runners. */
    public static final FleetLoad NONE =
            new FleetLoad(0, 0, 0, Collections.nCopies(QueueDefinition.LOWEST_PRIORITY + 1, 0L), 0, 0, 0, 0, 0);

    /** Copies the list, because another thread may read it. */
    public FleetLoad {
        longestWaitNanos = List.copyOf(longestWaitNanos);
    }
}
