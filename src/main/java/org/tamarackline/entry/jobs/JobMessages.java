package org.tamarackline.entry.jobs;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.RackLoad;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.peer.JobMessage;
import org.tamarackline.peer.PeerMessageType;

/** The messages about jobs that nodes exchange. */
public final class JobMessages {

    /** The types with their names on the wire. */
    static final List<PeerMessageType> TYPES = List.of(
            new PeerMessageType("submitJob", SubmitJob.class),
            new PeerMessageType("submitRefused", SubmitRefused.class),
            new PeerMessageType("jobStatus", JobStatusRequest.class),
            new PeerMessageType("jobStatusAnswer", JobStatusResponse.class),
            new PeerMessageType("taskQuery", TaskStatusRequest.class),
            new PeerMessageType("taskAnswer", TaskStatusResponse.class),
            new PeerMessageType("cancelJob", CancelJob.class),
            new PeerMessageType("askLoads", LoadsRequest.class),
            new PeerMessageType("loads", LoadsResponse.class),
            new PeerMessageType("askUsage", UsageRequest.class),
            new PeerMessageType("usage", UsageResponse.class),
            new PeerMessageType("rowsMoved", RowsMoved.class));

    private JobMessages() {}

    /**
     * Asks the owner of a rack to accept a job.
     *
     * @param shard rack
     * @param job job to record
     */
    public record SubmitJob(ShardId shard, JobRow job) implements JobMessage {}

    /**
     * The job was not accepted.
     *
     * @param code why
     * @param detail what was wrong and how to correct it
     * @param executed whether rows of the job may have been written
     */
    public record SubmitRefused(JobErrorCode code, String detail, JobRefusedException.Executed executed)
            implements JobMessage {}

    /**
     * Asks for the states of a job's tasks in the racks that the answering node owns.
     *
     * @param job job
     */
    public record JobStatusRequest(JobId job) implements JobMessage {}

    /**
     * States of a job's tasks.
     *
     * @param shards racks that the counts cover
     * @param counts tasks by state
     * @param parked parked tasks by reason
     */
    public record JobStatusResponse(
            List<ShardId> shards, Map<TaskState, Integer> counts, Map<ParkReason, Integer> parked)
            implements JobMessage {

        /** Creates an answer that later changes of the arguments do not affect. */
        public JobStatusResponse {
            shards = List.copyOf(shards);
            counts = Map.copyOf(counts);
            parked = Map.copyOf(parked);
        }
    }

    /**
     * Asks how a task stands.
     *
     * @param task task
     */
    public record TaskStatusRequest(TaskId task) implements JobMessage {}

    /**
     * How a task stands, empty if the answering node does not hold it.
     *
     * @param state state of the task
     * @param outcome how it ended
     */
    public record TaskStatusResponse(Optional<TaskState> state, Optional<TaskRow.Outcome> outcome)
            implements JobMessage {}

    /**
     * Asks to cancel the tasks of a job, after the cancellation was recorded in the job's row.
     *
     * @param job job
     */
    public record CancelJob(JobId job) implements JobMessage {}

    /** Asks what the racks of a node have to offer. */
    public record LoadsRequest() implements JobMessage {}

    /**
     * What the racks of a node have to offer.
     *
     * @param racks load by rack
     */
    public record LoadsResponse(List<ShardLoad> racks) implements JobMessage {

        /** Creates an answer that later changes of the arguments do not affect. */
        public LoadsResponse {
            racks = List.copyOf(racks);
        }
    }

    /**
     * What one rack has to offer.
     *
     * @param shard rack
     * @param load load
     */
    public record ShardLoad(ShardId shard, RackLoad load) {}

    /** Asks for the work of the tasks in the racks of a node. */
    public record UsageRequest() implements JobMessage {}

    /**
     * The work of the tasks in the racks of a node.
     *
     * @param lines amounts by key
     */
    public record UsageResponse(List<UsageSource.Line> lines) implements JobMessage {

        /** Creates an answer that later changes of the argument do not affect. */
        public UsageResponse {
            lines = List.copyOf(lines);
        }
    }

    /**
     * Tells the owner of a rack that rows of a job were moved to the rack.
     *
     * @param shard rack
     */
    public record RowsMoved(ShardId shard) implements JobMessage {}
}
