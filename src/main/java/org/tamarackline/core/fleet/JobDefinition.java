package org.tamarackline.core.fleet;

import java.util.List;

/**
 * A job as it was accepted.
 *
 * @param id identifier that the caller chose
 * @param queue queue that the job was submitted to, as defined at that time
 * @param spec text that is passed to the runners unchanged
 * @param steps steps in the order of the caller
 * @param scheduledOccurrences number of occurrences, 0 for a job that runs once and immediately
 * @param firstDueEpochMs due time of occurrence 0 in milliseconds since 1970
 * @param intervalMs interval between due times in milliseconds
 * @param acceptedEpochMs when the job was accepted, in milliseconds since 1970
 */
public record JobDefinition(
        String id,
        QueueDefinition queue,
        String spec,
        List<StepDefinition> steps,
        int scheduledOccurrences,
        long firstDueEpochMs,
        long intervalMs,
        long acceptedEpochMs) {

    /** Copies the steps. */
    public JobDefinition {
        steps = List.copyOf(steps);
    }

    /** Returns the number of occurrences, at least 1. */
    public int occurrences() {
        return Math.max(1, scheduledOccurrences);
    }

    /** Returns when an occurrence is due, in milliseconds since 1970. */
    public long dueEpochMs(int occurrence) {
        return scheduledOccurrences == 0 ? acceptedEpochMs : firstDueEpochMs + occurrence * intervalMs;
    }

    /**
     * Returns whether an occurrence may start. A job that runs once is always due, because the clock of the node that
     * accepted it may be ahead of the leader's.
     */
    boolean isDue(int occurrence, long nowEpochMs) {
        return scheduledOccurrences == 0 || dueEpochMs(occurrence) <= nowEpochMs;
    }

    /**
     * Returns for each step the estimated duration of the critical path from it to the end of the job, in milliseconds.
     */
    long[] criticalPathsMs() {
        long[] pathsMs = new long[steps.size()];
        for (int step = pathsMs.length - 1; step >= 0; step--) {
            pathsMs[step] += steps.get(step).estimatedDurationMs();
            for (int dependency : steps.get(step).dependencies()) {
                pathsMs[dependency] = Math.max(pathsMs[dependency], pathsMs[step]);
            }
        }
        return pathsMs;
    }
}
