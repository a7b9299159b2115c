package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one task of a job.
 *
 * @param job job of the task
 * @param index position in the job, from 0
 */
public record TaskId(JobId job, int index) {

    /**
     * Creates a task identifier.
     *
     * @throws IllegalArgumentException if {@code index} is negative
     */
    public TaskId {
        if (index < 0) {
            throw new IllegalArgumentException("task index %d of job %s is negative".formatted(index, job));
        }
    }

    /**
     * Parses the form written by {@link #toString}.
     *
     * @throws IllegalArgumentException if {@code text} is not of the form {@code job.index}
     */
    @JsonCreator
    public static TaskId parse(String text) {
        int dot = text.lastIndexOf('.');
        if (dot < 1) {
            throw new IllegalArgumentException("task id \"%s\" is not of the form job.index".formatted(text));
        }
        return new TaskId(new JobId(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }

    @JsonValue
    @Override
    public String toString() {
        return job.value() + "." + index;
    }
}
