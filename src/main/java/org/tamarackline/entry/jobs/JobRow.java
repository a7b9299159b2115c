package org.tamarackline.entry.jobs;

import java.util.ArrayList;
import java.util.List;

import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.task.TaskSpec;

/**
 * The row of a job, written once at submission and changed only by compare-and-set.
 *
 * @param id job
 * @param spec what each of its tasks runs
 * @param tasks number of tasks
 * @param digest digest of the submission, to tell a repeat from another submission with the same key
 * @param shards racks that hold rows of its tasks; the first one accepted the job
 * @param complete whether the rows of all tasks were written
 * @param cancelled whether the caller cancelled it
 */
public record JobRow(
        JobId id, TaskSpec spec, int tasks, String digest, List<ShardId> shards, boolean complete, boolean cancelled) {

    /** Creates a record that later changes of the arguments do not affect. */
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
