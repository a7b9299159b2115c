package org.tamarackline.core.fleet;

/**
 * Identifies a task of a job.
 *
 * @param job identifier of the job
 * @param occurrence occurrence of the job, from 0; 0 for a job that runs once
 * @param step position of the step in the job, from 0
 * @param index position of the task in the step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
