package org.tamarackline.core.task;

import org.tamarackline.core.model.TaskId;

/**
 * A conditional write of a task's row. It takes effect only if the stored row still has {@code version}.
 *
 * @param from row that was read
 * @param version version of that row in the table
 * @param to row to write
 */
public record RowChange(TaskRow from, long version, TaskRow to) {

    /** Returns the task of the row. */
    public TaskId task() {
        return from.task();
    }
}
