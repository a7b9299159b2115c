package org.tamarackline.standin.worker;

import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.ResultLookup;

/**
 * An object that the worker is to write to the platform's object store.
 *
 * @param taskId task
 * @param attempt attempt
 * @param kind what the object holds
 * @param workDoneMs work done when the content was taken, in milliseconds
 */
record Upload(TaskId taskId, int attempt, Kind kind, long workDoneMs) {

    /** What an object holds. */
    enum Kind {
        /** The work done so far. */
        CHECKPOINT,
        /** The result of a finished task. */
        RESULT
    }

    /** Returns the key of the object; it names the attempt, so that an earlier attempt cannot overwrite it. */
    String key() {
        return switch (kind) {
            case CHECKPOINT -> "checkpoint/%s/%d/%d".formatted(taskId.job(), taskId.index(), attempt);
            case RESULT -> new ResultLookup(taskId, attempt).key();
        };
    }

    /** Returns the content of the object. */
    StoredWork content() {
        return new StoredWork(taskId, attempt, workDoneMs);
    }

    /**
     * Content of a checkpoint or result.
     *
     * @param taskId task
     * @param attempt attempt that wrote it
     * @param workDoneMs work done, in milliseconds
     */
    record StoredWork(TaskId taskId, int attempt, long workDoneMs) {}
}
