package org.tamarackline.core.fleet;

import java.util.List;

/**
 * A job as it was accepted.
 *
 * @param id identifier that the caller chose
 * @param queue queue that the job was submitted to, with the terms in force at that time
 * @param spec text that is handed to the runners unchanged
 * @param steps steps in the order of the caller
 * @param repeats number of occurrences, 0 for a job that runs once and at once
 * @param firstDueEpochMs due time of occurrence 0 in milliseconds since 1970
 * @param intervalMs distance between due times in milliseconds
 * @param acceptedEpochMs when the job was accepted, in milliseconds since 1970
 */
public record JobDefinition(
        String id,
        QueueDefinition queue,
        String spec,
        List<StepDefinition> steps,
        int repeats,
        long firstDueEpochMs,
        long intervalMs,
        long acceptedEpochMs) {

    /** Creates a definition that later changes of the arguments do not affect. */
    public JobDefinition {
        steps = List.copyOf(steps);
    }

    /** Returns the number of occurrences, at least 1. */
    public int occurrences() {
        return Math.max(1, repeats);
    }

    /** Returns when an occurrence is due, in milliseconds since 1970. */
    public long dueEpochMs(int occurrence) {
        return repeats == 0 ? acceptedEpochMs : firstDueEpochMs + occurrence * intervalMs;
    }

    /** Returns the estimated duration of the longest chain of steps in milliseconds. */
    public long longestChainMs() {
        long[] chain = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < chain.length; i++) {
            StepDefinition step = steps.get(i);
            long before = 0;
            for (int earlier : step.after()) {
                before = Math.max(before, chain[earlier]);
            }
            chain[i] = before + step.estimateMs();
            longest = Math.max(longest, chain[i]);
        }
        return longest;
    }
}
