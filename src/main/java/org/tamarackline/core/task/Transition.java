package org.tamarackline.core.task;

/** The result of applying an event to a row. */
public sealed interface Transition {

    /**
     * The event is allowed.
     *
     * @param row row to write
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
