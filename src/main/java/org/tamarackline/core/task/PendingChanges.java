package org.tamarackline.core.task;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.TaskId;

/** The row changes that wait for the next commit, at most one for each task. */
final class PendingChanges {

    private final RackState state;
    private final Map<TaskId, TaskEntry> entriesByTask = new LinkedHashMap<>();

    PendingChanges(RackState state) {
        this.state = state;
    }

    /**
     * Proposes the change that {@code event} makes to the committed row. It replaces an earlier pending change.
     *
     * <p>Does nothing while a change of the row is being committed: the next task list of the worker shows the cause of the
     * event again. A pending cancellation is never replaced.
     */
    void propose(TaskEntry entry, TaskEvent event, TaskEntry.FollowUp followUp) {
        boolean cancelling = entry.pendingChange
                .map(pending -> pending.change().to().state() == TaskState.CANCELLED)
                .orElse(false);
        if (entry.changeInFlight || cancelling) {
            return;
        }
        if (Transitions.apply(entry.row, event) instanceof Transition.Changed changed) {
            RowChange change = new RowChange(entry.row, entry.version, changed.row());
            entry.pendingChange = Optional.of(new TaskEntry.PendingChange(change, followUp));
            entriesByTask.put(entry.task(), entry);
        }
    }

    /** Returns the tasks with pending changes, the oldest change first. */
    Collection<TaskEntry> entries() {
        return entriesByTask.values();
    }

    /** Removes the pending change of the task. */
    void withdraw(TaskId task) {
        entriesByTask.remove(task);
    }

    /** Adds the change of the task again, after a batch that was not committed. */
    void requeue(TaskEntry entry) {
        entriesByTask.put(entry.task(), entry);
    }

    RackState state() {
        return state;
    }
}
