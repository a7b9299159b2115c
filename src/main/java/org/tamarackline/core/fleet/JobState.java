package org.tamarackline.core.fleet;

/** The state of a job that is reported to callers. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** A record of the job cannot be read, so none of its tasks starts; not stored. */
    HELD,
    /** Every task is done. */
    COMPLETED,
    /** A task has failed as often as its queue permits. */
    FAILED,
    /** The caller cancelled the job. */
    CANCELLED;

    /** Returns whether the state is final. */
    public boolean terminal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
