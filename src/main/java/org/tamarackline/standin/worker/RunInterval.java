package org.tamarackline.standin.worker;

import java.util.Optional;

import org.tamarackline.core.model.TaskId;

/**
 * One run of an attempt. Times are on the monotonic clock of the host, so that runs on several workers can be compared.
 *
 * @param taskId task
 * @param attempt attempt
 * @param startNanos start of the run
 * @param endNanos end of the run, empty while it goes on
 * @param outcome how the run ended
 * @param startWorkMs work that the checkpoint at the start held, in milliseconds
 * @param endWorkMs work done so far by this run and its checkpoint, in milliseconds
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
        /** It goes on. */
        RUNNING,
        /** By itself, with exit code 0 and a stored result. */
        DONE,
        /** By itself, with another exit code. */
        FAILED,
        /** By a command. */
        STOPPED,
        /** Because the lease lapsed. */
        LEASE_LAPSED
    }
}
