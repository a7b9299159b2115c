package org.tamarackline.fleet;

import java.util.List;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.StepDefinition;
import org.tamarackline.core.model.Resources;

/** Definitions of jobs of one step, for tests of a leader. */
final class JobDefinitions {

    private static final QueueDefinition QUEUE =
            new QueueDefinition("queue", "host", "/q/", "dispatch", 0, 2, 2, 1_000, false);

    private JobDefinitions() {}

    /** Returns a job whose tasks run for a while. */
    static JobDefinition tasks(String id, int count, long estimateMs) {
        return jobOf(id, step(count, estimateMs, false));
    }

    /** Returns a job with one task that runs until the job is cancelled. */
    static JobDefinition longRunningTask(String id) {
        return jobOf(id, step(1, 0, true));
    }

    /** Returns a job with tasks that run until the job is cancelled. */
    static JobDefinition longRunningTasks(String id, int count) {
        return jobOf(id, step(count, 0, true));
    }

    /** Returns a job whose first occurrence is due at the start of the clock. */
    static JobDefinition scheduled(String id, int count, int occurrences, long intervalMs) {
        return new JobDefinition(id, QUEUE, "", List.of(step(count, 100, false)), occurrences, 0, intervalMs, 0);
    }

    private static JobDefinition jobOf(String id, StepDefinition step) {
        return new JobDefinition(id, QUEUE, "", List.of(step), 0, 0, 0, 0);
    }

    private static StepDefinition step(int count, long estimateMs, boolean longRunning) {
        Resources demand = new Resources(1_000, 100, 0);
        return new StepDefinition(
                count,
                demand,
                estimateMs,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                longRunning,
                "",
                0,
                false,
                0);
    }
}
