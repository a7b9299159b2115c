package org.tamarackline.core.task;

/** The result of applying a {@link TaskEvent} to a row. */
public sealed interface Transition {

    /**
     * The event is allowed.
     *
     * @param row new row, to be written
     */
    record Changed(TaskRow row) implements Transition {}

    /**
     * The event is not allowed in this state.
     *
     * @param state state of the row
     * @param event event that was rejected
     */
    record Rejected(TaskState state, TaskEvent event) implements Transition {}
}
