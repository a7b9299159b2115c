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

/** Messages about jobs, rack loads and usage that entry nodes exchange. */
public final class JobMessages {

    /** Message types with their names on the wire. */
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
     * Request to the owner of a rack to write the rows of a job and to schedule its tasks.
     *
     * @param shard rack
     * @param job job to write
     */
    public record SubmitJob(ShardId shard, JobRow job) implements JobMessage {}

    /**
     * Response to a job that was not accepted.
     *
     * @param code reason
     * @param detail what was wrong and how to correct it
     * @param executed whether rows of the job may have been written
     */
    public record SubmitRefused(JobErrorCode code, String detail, JobRefusedException.Executed executed)
            implements JobMessage {}

    /**
     * Request for the states of a job's tasks in the racks that the receiver owns.
     *
     * @param job job
     */
    public record JobStatusRequest(JobId job) implements JobMessage {}

    /**
     * Response with the states of a job's tasks.
     *
     * @param shards racks that the counts cover
     * @param counts number of tasks by state
     * @param parked number of parked tasks by reason
     */
    public record JobStatusResponse(
            List<ShardId> shards, Map<TaskState, Integer> counts, Map<ParkReason, Integer> parked)
            implements JobMessage {

        /** Copies the collections. */
        public JobStatusResponse {
            shards = List.copyOf(shards);
            counts = Map.copyOf(counts);
            parked = Map.copyOf(parked);
        }
    }

    /**
     * Request for the state of one task.
     *
     * @param task task
     */
    public record TaskStatusRequest(TaskId task) implements JobMessage {}

    /**
     * Response with the state of one task; both components are empty if no rack of the responding node holds the task.
     *
     * @param state state of the task
     * @param outcome outcome of the task, empty before its end
     */
    public record TaskStatusResponse(Optional<TaskState> state, Optional<TaskRow.Outcome> outcome)
            implements JobMessage {}

    /**
     * Request to cancel the tasks of a job in the racks that the receiver owns. The sender has written the cancellation to
     * the job row before.
     *
     * @param job job
     */
    public record CancelJob(JobId job) implements JobMessage {}

    /** Request for the loads of the racks that the receiver owns. */
    public record LoadsRequest() implements JobMessage {}

    /**
     * Response with the loads of the racks that a node owns.
     *
     * @param racks one load for each rack
     */
    public record LoadsResponse(List<ShardLoad> racks) implements JobMessage {

        /** Copies the list. */
        public LoadsResponse {
            racks = List.copyOf(racks);
        }
    }

    /**
     * Load of one rack.
     *
     * @param shard rack
     * @param load capacity and waiting tasks of the rack
     */
    public record ShardLoad(ShardId shard, RackLoad load) {}

    /** Request for the usage of the tasks in the racks that the receiver owns. */
    public record UsageRequest() implements JobMessage {}

    /**
     * Response with the usage of the tasks in the racks that a node owns.
     *
     * @param lines one line for each usage key
     */
    public record UsageResponse(List<UsageSource.Line> lines) implements JobMessage {

        /** Copies the list. */
        public UsageResponse {
            lines = List.copyOf(lines);
        }
    }

    /**
     * Notifies the owner of a rack that task rows were moved to the rack.
     *
     * @param shard rack
     */
    public record RowsMoved(ShardId shard) implements JobMessage {}
}
