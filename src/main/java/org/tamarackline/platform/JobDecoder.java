package org.tamarackline.platform;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.StepDefinition;
import org.tamarackline.core.model.Resources;

/** Decodes jobs that callers submit as JSON, and checks their size and the range of each field. */
final class JobDecoder {

    private static final int MAX_SPEC_LENGTH = 4_000;
    private static final int MAX_STEPS = 100;
    private static final int MAX_TASKS = 5_000;
    private static final int MAX_SCHEDULED_OCCURRENCES = 10_000;

    private JobDecoder() {}

    static JobDefinition decode(String id, QueueDefinition queue, byte[] body, long acceptedEpochMs)
            throws InvalidJobException {
        JsonNode root = Json.parse(body).orElseThrow(() -> new InvalidJobException("the body must be a JSON object"));
        JsonNode spec = root.path("spec");
        if (!spec.isMissingNode() && !spec.isTextual()) {
            throw new InvalidJobException("spec must be a string");
        }
        if (spec.asText("").length() > MAX_SPEC_LENGTH) {
            throw new InvalidJobException("spec is longer than %d characters".formatted(MAX_SPEC_LENGTH));
        }
        JsonNode steps = root.path("steps");
        if (!steps.isArray() || steps.isEmpty() || steps.size() > MAX_STEPS) {
            throw new InvalidJobException("steps must be an array of 1 to %d steps".formatted(MAX_STEPS));
        }
        List<StepDefinition> definitions = new ArrayList<>();
        int taskCount = 0;
        for (JsonNode step : steps) {
            StepDefinition definition = decodeStep(step, definitions.size());
            definitions.add(definition);
            taskCount += definition.count();
        }
        if (taskCount > MAX_TASKS) {
            throw new InvalidJobException(
                    "the job has %d tasks; at most %d are allowed".formatted(taskCount, MAX_TASKS));
        }
        return new JobDefinition(
                id,
                queue,
                spec.asText(""),
                definitions,
                (int) numberOrZero(root, "repeats", 0, MAX_SCHEDULED_OCCURRENCES),
                numberOrZero(root, "firstMs", 0, Long.MAX_VALUE),
                numberOrZero(root, "intervalMs", 0, Long.MAX_VALUE),
                acceptedEpochMs);
    }

    private static StepDefinition decodeStep(JsonNode step, int index) throws InvalidJobException {
        if (!step.isObject()) {
            throw new InvalidJobException("step %d must be an object".formatted(index));
        }
        int count = (int) numberOrZero(step, "count", 0, MAX_TASKS);
        if (count == 0) {
            throw new InvalidJobException("count of step %d must be from 1 to %d".formatted(index, MAX_TASKS));
        }
        Resources resources = new Resources(
                numberOrZero(step, "cpu", 0, Integer.MAX_VALUE),
                numberOrZero(step, "memMb", 0, Integer.MAX_VALUE),
                (int) numberOrZero(step, "gpu", 0, Integer.MAX_VALUE));
        return new StepDefinition(
                count,
                resources,
                numberOrZero(step, "estMs", 0, Integer.MAX_VALUE),
                decodeDependencies(step.path("after"), index),
                step.path("checkpointed").asBoolean(),
                step.path("gang").asBoolean(),
                step.path("sameRack").asBoolean(),
                step.path("requirements").asText(""),
                // The rack of the input data, not an affinity between tasks.
                step.path("affinity").asText(""),
                (int) numberOrZero(step, "antiAffinity", 0, Integer.MAX_VALUE),
                step.path("speculative").asBoolean(),
                step.path("longRunning").asBoolean(),
                step.path("image").asText(""),
                numberOrZero(step, "targetMs", 0, Integer.MAX_VALUE),
                step.path("fills").asBoolean(),
                (int) numberOrZero(step, "mayMiss", 0, Integer.MAX_VALUE));
    }

    private static List<Integer> decodeDependencies(JsonNode after, int index) throws InvalidJobException {
        List<Integer> dependencies = new ArrayList<>();
        for (JsonNode dependency : after) {
            if (!dependency.isIntegralNumber() || dependency.asInt() < 0 || dependency.asInt() >= index) {
                throw new InvalidJobException(
                        "step %d may only depend on earlier steps, not on %s".formatted(index, dependency));
            }
            dependencies.add(dependency.asInt());
        }
        return dependencies;
    }

    private static long numberOrZero(JsonNode object, String field, long min, long max) throws InvalidJobException {
        JsonNode value = object.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (!value.isNumber() || value.asLong() < min || value.asLong() > max) {
            throw new InvalidJobException(
                    "%s must be a number from %d to %d, not %s".formatted(field, min, max, value));
        }
        return value.asLong();
    }
}
