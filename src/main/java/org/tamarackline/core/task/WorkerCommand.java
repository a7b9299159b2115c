package org.tamarackline.core.task;

import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/** A command to send to a worker. Every outcome of it has to be passed to {@link RackScheduler#handleOutcome}. */
public sealed interface WorkerCommand {

    /** Returns the worker that gets the command. */
    WorkerId worker();

    /** Returns the task to which the command applies. */
    TaskId task();

    /** Returns the attempt to which the command applies. */
    int attempt();

    /**
     * Starts the attempt that the committed row records.
     *
     * @param worker worker that gets the command
     * @param row committed row of the assignment
     * @param checkpointAllowed whether the worker may checkpoint the task
     */
    record Start(WorkerId worker, TaskRow row, boolean checkpointAllowed) implements WorkerCommand {
        @Override
        public TaskId task() {
            return row.task();
        }

        @Override
        public int attempt() {
            return row.attempt();
        }
    }

    /**
     * Writes a checkpoint of the attempt.
     *
     * @param worker worker that gets the command
     * @param task task to which the command applies
     * @param attempt attempt to which the command applies
     */
    record Checkpoint(WorkerId worker, TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Stops the attempt. Afterwards the worker refuses a start of this attempt and of all lower ones.
     *
     * @param worker worker that gets the command
     * @param task task to which the command applies
     * @param attempt attempt to which the command applies
     */
    record Stop(WorkerId worker, TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Removes an attempt that has ended from the worker's task list.
     *
     * @param worker worker that gets the command
     * @param task task to which the command applies
     * @param attempt attempt to which the command applies
     */
    record Forget(WorkerId worker, TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Limits the speed of the attempt.
     *
     * @param worker worker that gets the command
     * @param task task to which the command applies
     * @param attempt attempt to which the command applies
     * @param percent speed in percent of full speed
     */
    record Throttle(WorkerId worker, TaskId task, int attempt, int percent) implements WorkerCommand {}
}
