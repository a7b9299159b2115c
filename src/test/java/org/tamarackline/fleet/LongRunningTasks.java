package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.tamarackline.core.fleet.TaskKey;

/**
 * Checks how long the long-running tasks of a {@link ClusterSimulation} have no run.
 *
 * <p>The bound counts from the end of the last run, across any number of leaders, and holds at each moment that is calm.
 */
final class LongRunningTasks {

    /** Time that a task may have no run: 6 s for a runner that is lost, and 3 s to start the task again. */
    private static final Duration MAX_STANDING_TIME = Duration.ofSeconds(9);

    /** Time since the last fault began or ended after which the bound holds: 4 s without faults, and 3 s of standing. */
    private static final Duration CALM_TIME = Duration.ofSeconds(7);

    private static final long NANOS_PER_MS = 1_000_000;

    private final ManualLoop loop;
    private final RunHistory history;
    private final Map<TaskKey, Long> reportedSinceNanos = new HashMap<>();
    private long lastFaultNanos;

    LongRunningTasks(ManualLoop loop, RunHistory history) {
        this.loop = loop;
        this.history = history;
    }

    /** A fault begins or ends, or the tasks cannot start at present. */
    void disturbed() {
        lastFaultNanos = loop.nowNanos();
    }

    /**
     * Checks a task that must have a run and has none; to be called at short intervals.
     *
     * @param acceptedNanos when its job was accepted
     */
    void check(TaskKey task, long acceptedNanos) {
        long sinceNanos = Math.max(acceptedNanos, history.lastRunNanos(task));
        long standingNanos = loop.nowNanos() - sinceNanos;
        long calmNanos = loop.nowNanos() - lastFaultNanos;
        if (standingNanos <= MAX_STANDING_TIME.toNanos() || calmNanos < CALM_TIME.toNanos()) {
            return;
        }
        Long reported = reportedSinceNanos.put(task, sinceNanos);
        if (reported == null || reported != sinceNanos) {
            history.report(
                    RunHistory.Rule.LONG_RUNNING_TASK_STOPPED,
                    task.toString(),
                    "no run since %d ms, and no fault since %d ms"
                            .formatted(sinceNanos / NANOS_PER_MS, lastFaultNanos / NANOS_PER_MS));
        }
    }
}
