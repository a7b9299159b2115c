package org.tamarackline.fleet;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobState;

/** Record of a job in the store. */
sealed interface StoredJob {

    /** Suffix of the key of a job's cancellation; the key starts with the job's identifier. */
    String CANCEL_SUFFIX = "/cancelled";

    /**
     * Job that has not reached a terminal state.
     *
     * @param definition the job as accepted
     */
    record Open(JobDefinition definition) implements StoredJob {}

    /**
     * Job that has reached a terminal state.
     *
     * @param id identifier of the job
     * @param state terminal state
     * @param endedEpochMs when it was reached, in milliseconds since 1970
     */
    record Finished(String id, JobState state, long endedEpochMs) implements StoredJob {}

    /**
     * Job that was cancelled before the store had it. The record keeps a submission that is still on its way from being
     * stored; to callers there is no such job.
     *
     * @param id identifier of the job
     * @param withdrawnEpochMs when it was cancelled, in milliseconds since 1970
     */
    record Withdrawn(String id, long withdrawnEpochMs) implements StoredJob {}

    /** Returns the key of the cancellation record of a job. */
    static String cancelKey(String id) {
        return id + CANCEL_SUFFIX;
    }
}
