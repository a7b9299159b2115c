package org.tamarackline.core.task;

import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.TaskId;

/** The row changes that wait for the next batch. */
final class Proposals {

    private final RackState state;
    private final Map<TaskId, TaskEntry> proposed;

    Proposals(RackState state, Map<TaskId, TaskEntry> proposed) {
        this.state = state;
        this.proposed = proposed;
    }

    /**
     * Proposes the change that {@code event} makes to the committed row, in place of an earlier proposal.
     *
     * <p>Does nothing while a change of the row is in flight: what caused the event is found again in the next list of the
     * worker. A cancellation gives way to nothing.
     */
    void propose(TaskEntry entry, TaskEvent event, TaskEntry.Aftermath aftermath) {
        boolean cancelling = entry.proposal
                .map(proposal -> proposal.change().to().state() == TaskState.CANCELLED)
                .orElse(false);
        if (entry.inFlight || cancelling) {
            return;
        }
        if (Transitions.apply(entry.row, event) instanceof Transition.Changed changed) {
            RowChange change = new RowChange(entry.row, entry.version, changed.row());
            entry.proposal = Optional.of(new TaskEntry.Proposal(change, aftermath));
            proposed.put(entry.task(), entry);
        }
    }

    RackState state() {
        return state;
    }
}
