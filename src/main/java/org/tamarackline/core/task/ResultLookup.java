package org.tamarackline.core.task;

import org.tamarackline.core.model.TaskId;

/**
 * A lookup in the object store of whether an attempt on a silent worker has finished. Its result decides whether the task
 * runs again.
 *
 * @param task task
 * @param attempt attempt whose worker is silent and whose lease has expired
 */
public record ResultLookup(TaskId task, int attempt) {

    /** Returns the key of the object that a worker writes when the attempt has finished. */
    public String key() {
        return "result/%s/%d/%d".formatted(task.job(), task.index(), attempt);
    }

    /** The result of a lookup. */
    public sealed interface Result {

        /**
         * The attempt has finished.
         *
         * @param workDoneMs work done, in milliseconds
         */
        record Found(long workDoneMs) implements Result {}

        /** The attempt has not finished, and can no longer finish because its lease has expired. */
        record Absent() implements Result {}

        /** The store did not respond; the lookup has to be repeated. */
        record Unknown() implements Result {}
    }
}
