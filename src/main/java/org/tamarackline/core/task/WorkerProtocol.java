package org.tamarackline.core.task;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;

/** The messages of the worker control protocol, written as JSON. */
public final class WorkerProtocol {

    private WorkerProtocol() {}

    /**
     * Renews the lease under which the worker runs its tasks.
     *
     * @param shard rack of the worker
     * @param epoch epoch of the sender's ownership; a lower one than the highest seen is refused
     * @param nonce nonce of the previous answer; empty on first contact, which extends no lease
     * @param leaseMs length of the lease in milliseconds, from the moment at which the nonce was issued
     */
    public record RenewRequest(ShardId shard, Epoch epoch, Optional<String> nonce, long leaseMs) {}

    /**
     * Answer to a renewal.
     *
     * @param nonce to be named by the next renewal
     * @param leaseCurrent whether the worker accepts starts under this epoch
     * @param capacity processors, memory and accelerators of the worker at this moment
     * @param tasks every task that the worker has not been told to forget
     * @param usage measurements, which lag behind
     */
    public record RenewResponse(
            String nonce, boolean leaseCurrent, Resources capacity, List<TaskReport> tasks, List<UsageSample> usage) {}

    /**
     * What the worker knows of a task.
     *
     * @param taskId task
     * @param attempt attempt that the worker accepted
     * @param state state of the attempt
     * @param checkpointKey object that holds the last checkpoint
     * @param resultKey object that holds the result, once done
     * @param exitCode exit code, once done or failed
     * @param workDoneMs work done so far by this attempt and the checkpoint it started from, in milliseconds
     */
    public record TaskReport(
            TaskId taskId,
            int attempt,
            TaskReportState state,
            Optional<String> checkpointKey,
            Optional<String> resultKey,
            Optional<Integer> exitCode,
            long workDoneMs) {}

    /** State of an attempt on a worker. */
    public enum TaskReportState {
        /** The attempt is running. */
        RUNNING,
        /** The attempt ended by itself with exit code 0. */
        DONE,
        /** The attempt ended by itself with another exit code. */
        FAILED,
        /** The attempt was stopped by a command or because the lease lapsed. */
        STOPPED
    }

    /**
     * A measurement of one task.
     *
     * @param taskId task
     * @param attempt attempt
     * @param takenAgoMs age of the measurement when the answer was sent, in milliseconds
     * @param used processor time, memory and accelerators in use at that moment
     * @param progressPercent speed of the task in percent of its undisturbed speed
     */
    public record UsageSample(TaskId taskId, int attempt, long takenAgoMs, Resources used, int progressPercent) {}

    /**
     * Starts a task.
     *
     * @param shard rack of the worker
     * @param epoch epoch of the sender's ownership
     * @param taskId task
     * @param attempt attempt, accepted at most once
     * @param command what to run
     * @param resources declared size
     * @param checkpointKey checkpoint to resume from
     * @param checkpointAllowed whether the worker may checkpoint the task when its lease lapses
     */
    public record StartRequest(
            ShardId shard,
            Epoch epoch,
            TaskId taskId,
            int attempt,
            JsonNode command,
            Resources resources,
            Optional<String> checkpointKey,
            boolean checkpointAllowed) {}

    /**
     * Checkpoints, throttles, stops or forgets a task.
     *
     * @param shard rack of the worker
     * @param epoch epoch of the sender's ownership
     * @param taskId task
     * @param attempt attempt that is meant; a stop forbids it and all lower ones
     * @param percent speed to throttle to, in percent; ignored by the other commands
     */
    public record TaskCommand(ShardId shard, Epoch epoch, TaskId taskId, int attempt, int percent) {}

    /**
     * Why a command was not carried out.
     *
     * @param code stable code
     * @param detail what was wrong
     * @param highestEpoch highest epoch that the worker has seen for the shard
     */
    public record Refusal(RefusalCode code, String detail, Epoch highestEpoch) {}

    /** Codes of {@link Refusal}. */
    public enum RefusalCode {
        /** A higher epoch has been seen. */
        FENCED,
        /** The lease under this epoch is not current. */
        NO_LEASE,
        /** The attempt, or a higher one, was stopped or accepted before. */
        ATTEMPT_FORBIDDEN,
        /** The task does not fit beside what runs. */
        OVER_CAPACITY,
        /** The task could not be started. */
        START_FAILED,
        /** The checkpoint could not be written; the task goes on. */
        CHECKPOINT_FAILED,
        /** The worker does not have the task. */
        UNKNOWN_TASK,
        /** The request was malformed. */
        INVALID
    }
}
