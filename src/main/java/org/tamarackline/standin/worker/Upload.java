package org.tamarackline.standin.worker;

import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.ResultLookup;

/**
 * Checkpoint or result that the worker stand-in has to write to the platform's object store.
 *
 * @param taskId id of the task
 * @param attempt number of the attempt
 * @param kind what the object contains
 * @param workDoneMs work done when the upload was created, in milliseconds
 */
record Upload(TaskId taskId, int attempt, Kind kind, long workDoneMs) {

    /** What an object contains. */
    enum Kind {
        /** The work done so far. */
        CHECKPOINT,
        /** The result of a finished task. */
        RESULT
    }

    /** Returns the object's key, which includes the attempt so that an earlier attempt cannot overwrite the object. */
    String key() {
        return switch (kind) {
            case CHECKPOINT -> "checkpoint/%s/%d/%d".formatted(taskId.job(), taskId.index(), attempt);
            case RESULT -> new ResultLookup(taskId, attempt).key();
        };
    }

    StoredWork content() {
        return new StoredWork(taskId, attempt, workDoneMs);
    }

    /**
     * Content of a checkpoint or result.
     *
     * @param taskId id of the task
     * @param attempt number of the attempt that wrote it
     * @param workDoneMs work done, in milliseconds
     */
    record StoredWork(TaskId taskId, int attempt, long workDoneMs) {}
}
