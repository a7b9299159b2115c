package org.tamarackline.core.task;

import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/** An event in the life cycle of a task. {@link Transitions} defines how each event changes the task's row. */
public sealed interface TaskEvent {

    /**
     * A worker was chosen.
     *
     * @param worker chosen worker
     */
    record Assigned(WorkerId worker) implements TaskEvent {}

    /** The worker confirmed that the attempt is running. */
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
     * @param work total work of all attempts so far
     */
    record WorkerFailed(WorkerId worker, TaskRow.Work work) implements TaskEvent {}

    /**
     * The attempt has ended without finishing, or will never start.
     *
     * @param checkpointKey newest checkpoint, empty to keep the recorded one
     * @param work total work of all attempts so far
     */
    record Interrupted(Optional<String> checkpointKey, TaskRow.Work work) implements TaskEvent {}

    /** The task has to be evicted, to free capacity or empty its worker. */
    record EvictionBegun() implements TaskEvent {}

    /** The checkpoint failed, so the task continues to run. */
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
     * @param reason reason for parking it
     */
    record Parked(ParkReason reason) implements TaskEvent {}

    /** The task may run again, because the configuration or the capacity changed. */
    record Unparked() implements TaskEvent {}
}
