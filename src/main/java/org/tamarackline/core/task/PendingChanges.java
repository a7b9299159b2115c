package org.tamarackline.core.task;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.TaskId;

/** The row changes that wait for the next batch. */
final class PendingChanges {

    private final RackState state;
    private final Map<TaskId, TaskEntry> entriesByTask = new LinkedHashMap<>();

    PendingChanges(RackState state) {
        this.state = state;
    }

    /**
     * Proposes the change that {@code event} makes to the committed row, in place of an earlier proposal.
     *
     * <p>Does nothing while a change of the row is in flight: what caused the event is found again in the next list of the
     * worker. A cancellation gives way to nothing.
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

    /** Returns the tasks whose changes wait, oldest proposal first. */
    Collection<TaskEntry> entries() {
        return entriesByTask.values();
    }

    /** Takes the change of the task out of those that wait. */
    void withdraw(TaskId task) {
        entriesByTask.remove(task);
    }

    /** Lets the change of the task wait again after a batch that was not committed. */
    void requeue(TaskEntry entry) {
        entriesByTask.put(entry.task(), entry);
    }

    RackState state() {
        return state;
    }
}
