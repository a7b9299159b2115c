package org.tamarackline.core.task;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/** Static helpers that apply events to rows; the only place that decides which transitions exist. */
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
            case TaskEvent.Assigned assigned -> when(state == TaskState.PENDING, row.assignedTo(assigned.worker()));
            case TaskEvent.Started started -> when(state == TaskState.ASSIGNED, row.in(TaskState.RUNNING));
            case TaskEvent.Finished end -> when(state.isOnWorker(), row.ended(TaskState.DONE, end.outcome()));
            case TaskEvent.Exited end -> when(state.isOnWorker(), row.ended(TaskState.FAILED, end.outcome()));
            case TaskEvent.WorkerFailed failure ->
                when(
                        state.isOnWorker(),
                        row.nextAttempt(Optional.empty(), failedOn(row, failure.worker()), failure.work()));
            case TaskEvent.Ended end ->
                when(state.isOnWorker(), row.nextAttempt(end.checkpointKey(), row.failedOn(), end.work()));
            case TaskEvent.EvictionBegun begun -> when(state == TaskState.RUNNING, row.in(TaskState.EVICTING));
            case TaskEvent.EvictionAbandoned given -> when(state == TaskState.EVICTING, row.in(TaskState.RUNNING));
            case TaskEvent.Cancelled cancelled ->
                when(!state.isFinal(), row.ended(TaskState.CANCELLED, workOnly(cancelled.workDoneMs())));
            case TaskEvent.Parked parked -> when(state == TaskState.PENDING, row.parked(parked.reason()));
            case TaskEvent.Unparked unparked -> when(state == TaskState.PARKED, row.unparked());
        };
    }

    private static TaskRow.Outcome workOnly(long workDoneMs) {
        return new TaskRow.Outcome(Optional.empty(), Optional.empty(), workDoneMs);
    }

    private static Optional<TaskRow> when(boolean allowed, TaskRow next) {
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
