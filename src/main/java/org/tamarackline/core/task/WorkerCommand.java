package org.tamarackline.core.task;

import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/** A command to send to a worker. Its outcome has to be reported back, whatever it is. */
public sealed interface WorkerCommand {

    /** Returns the worker to send it to. */
    WorkerId worker();

    /** Returns the task that is meant. */
    TaskId task();

    /** Returns the attempt that is meant. */
    int attempt();

    /**
     * Starts the recorded attempt.
     *
     * @param worker worker to send it to
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
     * @param worker worker to send it to
     * @param task task that is meant
     * @param attempt attempt that is meant
     */
    record Checkpoint(WorkerId worker, TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Stops the attempt and forbids it and all lower ones.
     *
     * @param worker worker to send it to
     * @param task task that is meant
     * @param attempt attempt that is meant
     */
    record Stop(WorkerId worker, TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Drops an attempt that ended from the worker's list.
     *
     * @param worker worker to send it to
     * @param task task that is meant
     * @param attempt attempt that is meant
     */
    record Forget(WorkerId worker, TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Slows the attempt down.
     *
     * @param worker worker to send it to
     * @param task task that is meant
     * @param attempt attempt that is meant
     * @param percent speed in percent of the undisturbed speed
     */
    record Throttle(WorkerId worker, TaskId task, int attempt, int percent) implements WorkerCommand {}
}
