package org.tamarackline.entry.jobs;

import java.util.ArrayList;
import java.util.List;

import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.task.TaskSpec;

/**
 * Stored row of a job, written at submission; every later change is a compare-and-set on its version.
 *
 * @param id job
 * @param spec specification of each of its tasks
 * @param tasks number of tasks
 * @param digest digest of the submission, which tells a repeated submission from a different one with the same key
 * @param shards racks that hold or held rows of its tasks; the first one accepted the job
 * @param complete whether the rows of all tasks were written
 * @param cancelled whether the caller cancelled the job
 */
public record JobRow(
        JobId id, TaskSpec spec, int tasks, String digest, List<ShardId> shards, boolean complete, boolean cancelled) {

    /** Copies the list. */
    public JobRow {
        shards = List.copyOf(shards);
    }

    JobRow asComplete() {
        return new JobRow(id, spec, tasks, digest, shards, true, cancelled);
    }

    JobRow asCancelled() {
        return new JobRow(id, spec, tasks, digest, shards, complete, true);
    }

    JobRow withAcceptingShard(ShardId shard) {
        return new JobRow(id, spec, tasks, digest, List.of(shard), complete, cancelled);
    }

    JobRow withShard(ShardId shard) {
        if (shards.contains(shard)) {
            return this;
        }
        List<ShardId> extended = new ArrayList<>(shards);
        extended.add(shard);
        return new JobRow(id, spec, tasks, digest, extended, complete, cancelled);
    }
}
