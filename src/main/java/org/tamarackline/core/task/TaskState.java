package org.tamarackline.core.task;

/** The states of a task's row. */
public enum TaskState {
    /** Waits for a worker. */
    PENDING,
    /** A worker was chosen and recorded; the start command may have been sent. */
    ASSIGNED,
    /** The worker confirmed that the attempt runs. */
    RUNNING,
    /** The attempt is being checkpointed and stopped to make room. */
    EVICTING,
    /** Cannot run until the configuration or the capacity changes. */
    PARKED,
    /** Finished with exit code 0. */
    DONE,
    /** Finished with another exit code. */
    FAILED,
    /** Cancelled by its caller. */
    CANCELLED;

    /** Returns whether no transition leaves this state. */
    public boolean isFinal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }

    /** Returns whether the task takes up capacity of its worker. */
    public boolean isOnWorker() {
        return this == ASSIGNED || this == RUNNING || this == EVICTING;
    }
}
