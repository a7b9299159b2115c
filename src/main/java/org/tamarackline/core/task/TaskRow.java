package org.tamarackline.core.task;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.NullNode;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/**
 * The recorded state of a task. Every change is one conditional write of its row.
 *
 * @param task task
 * @param spec what to run
 * @param state state
 * @param attempt number of the current or next attempt, from 1; raised by one whenever an attempt ends without finishing
 * @param worker worker of the current or last attempt
 * @param failedOn different workers on which the task failed
 * @param checkpointKey object to resume from
 * @param outcome how the last attempt ended, once the state is final
 * @param parkReason why the task is parked
 * @param work work done by earlier attempts
 */
public record TaskRow(
        TaskId task,
        TaskSpec spec,
        TaskState state,
        int attempt,
        Optional<WorkerId> worker,
        List<WorkerId> failedOn,
        Optional<String> checkpointKey,
        Optional<Outcome> outcome,
        Optional<ParkReason> parkReason,
        Work work) {

    /** Creates a row that later changes of the arguments do not affect. */
    public TaskRow {
        failedOn = List.copyOf(failedOn);
    }

    /**
     * How an attempt ended.
     *
     * @param resultKey object that holds the result
     * @param exitCode exit code
     * @param workDoneMs work done by the attempt and the checkpoint it started from, in milliseconds
     */
    public record Outcome(Optional<String> resultKey, Optional<Integer> exitCode, long workDoneMs) {}

    /**
     * Work done by earlier attempts.
     *
     * @param savedMs work saved in the checkpoint, in milliseconds
     * @param repeatedMs work that no checkpoint saved and that had to be repeated, in milliseconds
     */
    public record Work(long savedMs, long repeatedMs) {

        /** No work yet. */
        public static final Work NONE = new Work(0, 0);
    }

    /** Returns the row of a task that was just submitted. */
    public static TaskRow submitted(TaskId task, TaskSpec spec) {
        return new TaskRow(
                task,
                spec,
                TaskState.PENDING,
                1,
                Optional.empty(),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Work.NONE);
    }

    /** Returns whether the row places the current attempt on {@code candidate}. */
    public boolean isOn(WorkerId candidate) {
        return state.isOnWorker() && worker.isPresent() && worker.get().equals(candidate);
    }

    TaskRow withoutCommand() {
        TaskSpec shortened =
                new TaskSpec(spec.caller(), spec.team(), spec.profile(), spec.resources(), NullNode.getInstance());
        return new TaskRow(task, shortened, state, attempt, worker, failedOn, checkpointKey, outcome, parkReason, work);
    }

    TaskRow assignedTo(WorkerId chosen) {
        return new TaskRow(
                task,
                spec,
                TaskState.ASSIGNED,
                attempt,
                Optional.of(chosen),
                failedOn,
                checkpointKey,
                Optional.empty(),
                Optional.empty(),
                work);
    }

    TaskRow withState(TaskState next) {
        return new TaskRow(task, spec, next, attempt, worker, failedOn, checkpointKey, outcome, parkReason, work);
    }

    TaskRow nextAttempt(Optional<String> newCheckpointKey, List<WorkerId> newFailedOn, Work newWork) {
        return new TaskRow(
                task,
                spec,
                TaskState.PENDING,
                attempt + 1,
                Optional.empty(),
                newFailedOn,
                newCheckpointKey.or(() -> checkpointKey),
                Optional.empty(),
                Optional.empty(),
                newWork);
    }

    TaskRow finished(TaskState finalState, Outcome finalOutcome) {
        return new TaskRow(
                task,
                spec,
                finalState,
                attempt,
                worker,
                failedOn,
                checkpointKey,
                Optional.of(finalOutcome),
                Optional.empty(),
                work);
    }

    TaskRow parked(ParkReason reason) {
        return new TaskRow(
                task,
                spec,
                TaskState.PARKED,
                attempt,
                Optional.empty(),
                failedOn,
                checkpointKey,
                Optional.empty(),
                Optional.of(reason),
                work);
    }

    TaskRow unparked() {
        return new TaskRow(
                task,
                spec,
                TaskState.PENDING,
                attempt,
                Optional.empty(),
                List.of(),
                checkpointKey,
                Optional.empty(),
                Optional.empty(),
                work);
    }
}
