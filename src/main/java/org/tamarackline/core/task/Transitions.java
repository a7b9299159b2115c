package org.tamarackline.core.task;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/** The state machine of tasks. Defines which events each state allows, and the row that results from them. */
public final class Transitions {

    private Transitions() {}

    /** Returns the row after {@code event}, or a rejection if the state of {@code row} does not allow it. */
    public static Transition apply(TaskRow row, TaskEvent event) {
        return next(row, event)
                .<Transition>map(Transition.Changed::new)
                .orElseGet(() -> new Transition.Rejected(row.state(), event));
    }

    private static Optional<TaskRow> next(TaskRow row, TaskEvent event) {
        TaskState state = row.state();
        return switch (event) {
            case TaskEvent.Assigned assigned -> rowIf(state == TaskState.PENDING, row.assignedTo(assigned.worker()));
            case TaskEvent.Started started -> rowIf(state == TaskState.ASSIGNED, row.withState(TaskState.RUNNING));
            case TaskEvent.Finished end -> rowIf(state.isOnWorker(), row.finished(TaskState.DONE, end.outcome()));
            case TaskEvent.Exited end -> rowIf(state.isOnWorker(), row.finished(TaskState.FAILED, end.outcome()));
            case TaskEvent.WorkerFailed failure ->
                rowIf(
                        state.isOnWorker(),
                        row.nextAttempt(Optional.empty(), failedOn(row, failure.worker()), failure.work()));
            case TaskEvent.Interrupted end ->
                rowIf(state.isOnWorker(), row.nextAttempt(end.checkpointKey(), row.failedOn(), end.work()));
            case TaskEvent.EvictionBegun begun -> rowIf(state == TaskState.RUNNING, row.withState(TaskState.EVICTING));
            case TaskEvent.EvictionAbandoned abandoned ->
                rowIf(state == TaskState.EVICTING, row.withState(TaskState.RUNNING));
            case TaskEvent.Cancelled cancelled ->
                rowIf(!state.isFinal(), row.finished(TaskState.CANCELLED, workOnly(cancelled.workDoneMs())));
            case TaskEvent.Parked parked -> rowIf(state == TaskState.PENDING, row.parked(parked.reason()));
            case TaskEvent.Unparked unparked -> rowIf(state == TaskState.PARKED, row.unparked());
        };
    }

    private static TaskRow.Outcome workOnly(long workDoneMs) {
        return new TaskRow.Outcome(Optional.empty(), Optional.empty(), workDoneMs);
    }

    private static Optional<TaskRow> rowIf(boolean allowed, TaskRow next) {
        return allowed ? Optional.of(next) : Optional.empty();
    }

    private static List<WorkerId> failedOn(TaskRow row, WorkerId worker) {
        if (row.failedOn().contains(worker)) {
            return row.failedOn();
        }
        List<WorkerId> extended = new ArrayList<>(row.failedOn());
        extended.add(worker);
        return extended;
    }
}
