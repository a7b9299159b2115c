package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

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
 * @param blockedRunners number of runners that get no new tasks, by the reason; reasons without runners are left out
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
        int unreportedRunners,
        Map<StartBlock, Integer> blockedRunners) {

    /** Load of a fleet without jobs and runners. */
    public static final FleetLoad NONE = new FleetLoad(
            0, 0, 0, Collections.nCopies(QueueDefinition.LOWEST_PRIORITY + 1, 0L), 0, 0, 0, 0, 0, Map.of());

    /** Copies the collections, because another thread may read them. */
    public FleetLoad {
        longestWaitNanos = List.copyOf(longestWaitNanos);
        blockedRunners = Map.copyOf(blockedRunners);
    }

    /** Measures the load of a fleet in one pass over the ready tasks and one over the runs. */
    static FleetLoad measure(
            JobTracker jobs, Collection<FleetRunner> runners, UnreportedRunners unreportedRunners, long nowNanos) {
        int heldTasks = 0;
        long[] longestWaitNanos = new long[QueueDefinition.LOWEST_PRIORITY + 1];
        for (Task task : jobs.readyTasks().all()) {
            if (unreportedRunners.mayHaveRunOf(task)) {
                heldTasks++;
            }
            int priority = Math.clamp(task.job().definition().queue().priority(), 0, QueueDefinition.LOWEST_PRIORITY);
            longestWaitNanos[priority] = Math.max(longestWaitNanos[priority], nowNanos - task.waitingSinceNanos);
        }
        int startingRuns = 0;
        int runningRuns = 0;
        int stoppingRuns = 0;
        Map<StartBlock, Integer> blockedRunners = new EnumMap<>(StartBlock.class);
        for (FleetRunner runner : runners) {
            if (!runner.acceptsStarts()) {
                blockedRunners.merge(runner.startBlock(), 1, Integer::sum);
            }
            for (Run run : runner.runs.values()) {
                switch (run.phase) {
                    case STARTING -> startingRuns++;
                    case RUNNING -> runningRuns++;
                    default -> stoppingRuns++;
                }
            }
        }
        return new FleetLoad(
                jobs.openJobCount(),
                jobs.readyTaskCount(),
                heldTasks,
                LongStream.of(longestWaitNanos).boxed().toList(),
                startingRuns,
                runningRuns,
                stoppingRuns,
                runners.size(),
                unreportedRunners.count(),
                blockedRunners);
    }
}
