package org.tamarackline.core.task;

import org.tamarackline.core.model.TaskId;

/**
 * A question whether an attempt on a silent worker has finished. Its answer decides whether the task runs again.
 *
 * @param task task
 * @param attempt attempt whose worker no longer answers and whose lease has lapsed
 */
public record ResultLookup(TaskId task, int attempt) {

    /** Returns the key of the object that a worker writes when the attempt has finished. */
    public String key() {
        return "result/%s/%d/%d".formatted(task.job(), task.index(), attempt);
    }

    /** What the object store says. */
    public sealed interface Result {

        /**
         * The attempt has finished.
         *
         * @param workDoneMs work done, in milliseconds
         */
        record Found(long workDoneMs) implements Result {}

        /** The attempt has not finished, and its lapsed lease keeps it from doing so. */
        record Absent() implements Result {}

        /** The store did not answer; the lookup has to be repeated. */
        record Unknown() implements Result {}
    }
}
