package org.tamarackline.entry.jobs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.VersionedRow;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.store.Row;

/** Keys of the rows of jobs and tasks, and the JSON form of the rows of this package. */
final class RowFormat {

    /** Largest number of rows that one transaction writes. */
    static final int MAX_TRANSACTION_ROWS = 200;

    private static final JsonMapper JSON = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private final Region region;

    RowFormat(Region region) {
        this.region = region;
    }

    static String jobKey(JobId job) {
        return "job/" + job.value();
    }

    String shardKey(ShardId shard) {
        return "region/%s/shard/%s".formatted(region.value(), shard.value());
    }

    String taskPrefix(ShardId shard) {
        return "region/%s/task/%s/".formatted(region.value(), shard.value());
    }

    String taskPrefix(ShardId shard, JobId job) {
        return taskPrefix(shard) + job.value() + "/";
    }

    String taskKey(ShardId shard, TaskId task) {
        return taskPrefix(shard, task.job()) + task.index();
    }

    static JsonNode toJson(Object row) {
        return JSON.valueToTree(row);
    }

    static VersionedRow readTask(Row row) {
        return new VersionedRow(read(row, TaskRow.class), row.version());
    }

    static JobRow readJob(Row row) {
        return read(row, JobRow.class);
    }

    static UsageSource.Line readUsageLine(Row row) {
        return read(row, UsageSource.Line.class);
    }

    private static <T> T read(Row row, Class<T> type) {
        try {
            return JSON.treeToValue(row.value(), type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "row \"%s\" is not a valid %s".formatted(row.key(), type.getSimpleName()), e);
        }
    }
}
