package org.tamarackline.core.task;

import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/** What happens to a task. */
public sealed interface TaskEvent {

    /**
     * A worker was chosen.
     *
     * @param worker chosen worker
     */
    record Assigned(WorkerId worker) implements TaskEvent {}

    /** The worker confirmed that the attempt runs. */
    record Started() implements TaskEvent {}

    /**
     * The attempt ended by itself with exit code 0.
     *
     * @param outcome how it ended
     */
    record Finished(TaskRow.Outcome outcome) implements TaskEvent {}

    /**
     * The attempt ended by itself with another exit code.
     *
     * @param outcome how it ended
     */
    record Exited(TaskRow.Outcome outcome) implements TaskEvent {}

    /**
     * The worker failed to run the attempt.
     *
     * @param worker worker that failed
     * @param work work of all attempts so far
     */
    record WorkerFailed(WorkerId worker, TaskRow.Work work) implements TaskEvent {}

    /**
     * The attempt is known to have ended without finishing, or never to start.
     *
     * @param checkpointKey newest checkpoint, empty to keep the recorded one
     * @param work work of all attempts so far
     */
    record Interrupted(Optional<String> checkpointKey, TaskRow.Work work) implements TaskEvent {}

    /** The task has to make room. */
    record EvictionBegun() implements TaskEvent {}

    /** The task could not be checkpointed and goes on. */
    record EvictionAbandoned() implements TaskEvent {}

    /**
     * The caller cancelled the job.
     *
     * @param workDoneMs work done so far, in milliseconds
     */
    record Cancelled(long workDoneMs) implements TaskEvent {}

    /**
     * The task cannot run for now.
     *
     * @param reason why
     */
    record Parked(ParkReason reason) implements TaskEvent {}

    /** The configuration or the capacity changed. */
    record Unparked() implements TaskEvent {}
}
