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

    /** Returns whether another task is of the same step of the same occurrence. */
    boolean sameStep(TaskKey other) {
        return step == other.step && occurrence == other.occurrence && job.equals(other.job);
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
