package org.tamarackline.core.task;

/** The states in the life cycle of a task, as stored in its row. */
public enum TaskState {
    /** The task waits for a worker. */
    PENDING,
    /** The row names a worker; the start command may have been sent. */
    ASSIGNED,
    /** The worker confirmed that the attempt is running. */
    RUNNING,
    /** The attempt is being checkpointed and stopped, to free capacity or empty its worker. */
    EVICTING,
    /** The task cannot run until the configuration or the capacity changes. */
    PARKED,
    /** The task ended with exit code 0. */
    DONE,
    /** The task ended with another exit code. */
    FAILED,
    /** The caller cancelled the job of the task. */
    CANCELLED;

    /** Returns whether no transition leaves this state. */
    public boolean isFinal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }

    /** Returns whether the task occupies capacity of its worker. */
    public boolean isOnWorker() {
        return this == ASSIGNED || this == RUNNING || this == EVICTING;
    }
}
