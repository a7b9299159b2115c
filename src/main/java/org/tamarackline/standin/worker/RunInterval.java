package org.tamarackline.standin.worker;

import java.util.Optional;

import org.tamarackline.core.model.TaskId;

/**
 * Run of one attempt of a task on a worker stand-in. Times are on the monotonic clock of the machine, so that runs on
 * several workers of the same machine can be compared.
 *
 * @param taskId id of the task
 * @param attempt number of the attempt
 * @param startNanos start of the run
 * @param endNanos end of the run, empty while the task is running
 * @param outcome how the run ended
 * @param startWorkMs work saved in the checkpoint that the run started from, in milliseconds
 * @param endWorkMs work done so far, including that of the checkpoint, in milliseconds
 */
public record RunInterval(
        TaskId taskId,
        int attempt,
        long startNanos,
        Optional<Long> endNanos,
        RunOutcome outcome,
        long startWorkMs,
        long endWorkMs) {

    /** How a run ended. */
    public enum RunOutcome {
        /** The task is running. */
        RUNNING,
        /** The task finished with exit code 0, and its result is stored. */
        DONE,
        /** The task finished with another exit code. */
        FAILED,
        /** A command stopped the task. */
        STOPPED,
        /** The worker's lease expired. */
        LEASE_LAPSED
    }
}
