package org.tamarackline.core.task;

import java.util.Optional;

import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.TeamName;

/**
 * The work of one attempt that ended.
 *
 * @param task task
 * @param attempt attempt
 * @param team team of the task
 * @param profile profile of the task
 * @param fate what the work was worth
 * @param workMs work since the checkpoint that the attempt started from, in milliseconds
 * @param lostMs part of it that is not in the newest checkpoint, in milliseconds
 */
public record WorkRecord(
        TaskId task, int attempt, TeamName team, ProfileName profile, Fate fate, long workMs, long lostMs) {

    /** What the work of an attempt was worth. */
    public enum Fate {
        /** The task finished. */
        USEFUL,
        /** The attempt ended early; what is not in the checkpoint has to be repeated. */
        TO_REPEAT,
        /** The task failed or was cancelled. */
        THROWN_AWAY
    }

    static Optional<WorkRecord> of(RowChange change, TaskEntry entry) {
        TaskRow from = change.from();
        TaskState next = change.to().state();
        if (!from.state().isOnWorker() || next.isOnWorker()) {
            return Optional.empty();
        }
        Fate fate = switch (next) {
            case DONE -> Fate.USEFUL;
            case FAILED, CANCELLED -> Fate.THROWN_AWAY;
            default -> Fate.TO_REPEAT;
        };
        long done = entry.workDoneMs;
        boolean checkpointed = !change.to().checkpointKey().equals(from.checkpointKey());
        long lost = fate == Fate.USEFUL || checkpointed ? 0 : done - entry.savedWorkMs;
        long work = done - entry.startedFromMs;
        return Optional.of(new WorkRecord(
                from.task(), from.attempt(), from.spec().team(), from.spec().profile(), fate, work, Math.max(0, lost)));
    }
}
