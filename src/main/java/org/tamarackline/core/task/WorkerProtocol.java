package org.tamarackline.core.task;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;

/** The messages of the protocol by which the owner of a rack controls its workers, sent as JSON over HTTP. */
public final class WorkerProtocol {

    private WorkerProtocol() {}

    /**
     * Renews the lease under which the worker runs its tasks.
     *
     * @param shard rack of the worker
     * @param epoch epoch of the sender's ownership; the worker refuses epochs lower than the highest it has seen
     * @param nonce nonce of the previous response; if empty, the lease is not extended
     * @param leaseMs duration of the lease in milliseconds, from the time at which the nonce was issued
     */
    public record RenewRequest(ShardId shard, Epoch epoch, Optional<String> nonce, long leaseMs) {}

    /**
     * Response to a renewal.
     *
     * @param nonce nonce for the next renewal
     * @param leaseCurrent whether the worker accepts starts under this epoch
     * @param capacity current processors, memory and accelerators of the worker
     * @param tasks every task that no {@link WorkerCommand.Forget} has removed
     * @param usage usage measurements, which are delayed
     */
    public record RenewResponse(
            String nonce, boolean leaseCurrent, Resources capacity, List<TaskReport> tasks, List<UsageSample> usage) {}

    /**
     * State of a task on the worker.
     *
     * @param taskId task
     * @param attempt attempt that the worker accepted
     * @param state state of the attempt
     * @param checkpointKey key of the object that holds the last checkpoint
     * @param resultKey key of the object that holds the result, once done
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
        /** The attempt was stopped by a command, or because the lease expired. */
        STOPPED
    }

    /**
     * A usage measurement of one task.
     *
     * @param taskId task
     * @param attempt attempt
     * @param takenAgoMs age of the measurement when the response was sent, in milliseconds
     * @param used processor time, memory and accelerators in use when the measurement was taken
     * @param progressPercent speed of the task in percent of its speed without interference
     */
    public record UsageSample(TaskId taskId, int attempt, long takenAgoMs, Resources used, int progressPercent) {}

    /**
     * Starts a task.
     *
     * @param shard rack of the worker
     * @param epoch epoch of the sender's ownership
     * @param taskId task
     * @param attempt attempt, which the worker accepts at most once
     * @param command what to run
     * @param resources declared resources
     * @param checkpointKey checkpoint to resume from
     * @param checkpointAllowed whether the worker may checkpoint the task when its lease expires
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
     * @param attempt attempt to which the command applies; after a stop, the worker refuses to start it and all lower ones
     * @param percent speed limit in percent of full speed; ignored by the other commands
     */
    public record TaskCommand(ShardId shard, Epoch epoch, TaskId taskId, int attempt, int percent) {}

    /**
     * Refusal of a command.
     *
     * @param code reason for the refusal
     * @param detail description of the reason
     * @param highestEpoch highest epoch that the worker has seen for the shard
     */
    public record Refusal(RefusalCode code, String detail, Epoch highestEpoch) {}

    /** Reasons for a {@link Refusal}. */
    public enum RefusalCode {
        /** The worker has seen a higher epoch. */
        FENCED,
        /** The lease under this epoch is not current. */
        NO_LEASE,
        /** The attempt, or a higher one, was stopped or accepted before. */
        ATTEMPT_FORBIDDEN,
        /** The task does not fit into the capacity that running tasks leave free. */
        OVER_CAPACITY,
        /** The task could not be started. */
        START_FAILED,
        /** The checkpoint could not be written; the task continues to run. */
        CHECKPOINT_FAILED,
        /** The worker does not have the task. */
        UNKNOWN_TASK,
        /** The request was malformed. */
        INVALID
    }
}
