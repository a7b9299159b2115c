package org.tamarackline.fleet;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobState;

/** A stored job. */
sealed interface StoredJob {

    /** Ends the key of the record that says that a job is cancelled; the key starts with the job's identifier. */
    String CANCEL_SUFFIX = "/cancelled";

    /**
     * A job that has not reached its last state.
     *
     * @param definition the job as accepted
     */
    record Open(JobDefinition definition) implements StoredJob {}

    /**
     * A job that has reached its last state.
     *
     * @param id identifier of the job
     * @param state its last state
     * @param endedEpochMs when it was reached, in milliseconds since 1970
     */
    record Finished(String id, JobState state, long endedEpochMs) implements StoredJob {}

    /** Returns the key of the cancellation of a job. */
    static String cancelKey(String id) {
        return id + CANCEL_SUFFIX;
    }
}
