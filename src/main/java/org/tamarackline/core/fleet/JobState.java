package org.tamarackline.core.fleet;

/** What a caller is told about a job. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** Every task has ended as done. */
    COMPLETED,
    /** A task has used up its attempts. */
    FAILED,
    /** The caller cancelled the job. */
    CANCELLED;

    /** Returns whether the state is the last one of a job. */
    public boolean terminal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
