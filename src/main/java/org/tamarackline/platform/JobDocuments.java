package org.tamarackline.platform;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.StepDefinition;
import org.tamarackline.core.model.Resources;

/** Decodes submitted jobs. */
final class JobDocuments {

    private static final int MAX_SPEC_BYTES = 4_000;
    private static final int MAX_STEPS = 100;
    private static final int MAX_TASKS = 5_000;
    private static final int MAX_REPEATS = 10_000;

    private JobDocuments() {}

    static JobDefinition decode(String id, QueueDefinition queue, byte[] body, long acceptedEpochMs)
            throws InvalidJobException {
        JsonNode root = Json.parse(body).orElseThrow(() -> new InvalidJobException("the body must be a JSON object"));
        JsonNode spec = root.path("spec");
        if (!spec.isMissingNode() && !spec.isTextual()) {
            throw new InvalidJobException("spec must be a text");
        }
        if (spec.asText("").length() > MAX_SPEC_BYTES) {
            throw new InvalidJobException("spec has more than %d bytes".formatted(MAX_SPEC_BYTES));
        }
        JsonNode steps = root.path("steps");
        if (!steps.isArray() || steps.isEmpty() || steps.size() > MAX_STEPS) {
            throw new InvalidJobException("steps must be a list of 1 to %d steps".formatted(MAX_STEPS));
        }
        List<StepDefinition> decoded = new ArrayList<>();
        int tasks = 0;
        for (JsonNode step : steps) {
            StepDefinition definition = step(step, decoded.size());
            decoded.add(definition);
            tasks += definition.count();
        }
        if (tasks > MAX_TASKS) {
            throw new InvalidJobException("the job has %d tasks, more than %d".formatted(tasks, MAX_TASKS));
        }
        return new JobDefinition(
                id,
                queue,
                spec.asText(""),
                decoded,
                (int) number(root, "repeats", 0, MAX_REPEATS),
                number(root, "firstMs", 0, Long.MAX_VALUE),
                number(root, "intervalMs", 0, Long.MAX_VALUE),
                acceptedEpochMs);
    }

    private static StepDefinition step(JsonNode step, int position) throws InvalidJobException {
        if (!step.isObject()) {
            throw new InvalidJobException("step %d must be an object".formatted(position));
        }
        int count = (int) number(step, "count", 0, MAX_TASKS);
        if (count == 0) {
            throw new InvalidJobException("count of step %d must be 1 to %d".formatted(position, MAX_TASKS));
        }
        Resources demand = new Resources(
                number(step, "cpu", 0, Integer.MAX_VALUE), number(step, "memMb", 0, Integer.MAX_VALUE), (int)
                        number(step, "gpu", 0, Integer.MAX_VALUE));
        return new StepDefinition(
                count,
                demand,
                number(step, "estMs", 0, Integer.MAX_VALUE),
                after(step.path("after"), position),
                step.path("checkpointed").asBoolean(),
                step.path("gang").asBoolean(),
                step.path("sameRack").asBoolean(),
                step.path("requirements").asText(""),
                // The platform names here the rack of the data, not a preference between tasks.
                step.path("affinity").asText(""),
                (int) number(step, "antiAffinity", 0, Integer.MAX_VALUE),
                step.path("speculative").asBoolean(),
                step.path("longRunning").asBoolean(),
                step.path("image").asText(""),
                number(step, "targetMs", 0, Integer.MAX_VALUE),
                step.path("fills").asBoolean(),
                (int) number(step, "mayMiss", 0, Integer.MAX_VALUE));
    }

    private static List<Integer> after(JsonNode after, int position) throws InvalidJobException {
        List<Integer> steps = new ArrayList<>();
        for (JsonNode earlier : after) {
            if (!earlier.isIntegralNumber() || earlier.asInt() < 0 || earlier.asInt() >= position) {
                throw new InvalidJobException(
                        "step %d may only come after earlier steps, not after %s".formatted(position, earlier));
            }
            steps.add(earlier.asInt());
        }
        return steps;
    }

    private static long number(JsonNode object, String field, long least, long most) throws InvalidJobException {
        JsonNode value = object.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (!value.isNumber() || value.asLong() < least || value.asLong() > most) {
            throw new InvalidJobException(
                    "%s must be a number from %d to %d, not %s".formatted(field, least, most, value));
        }
        return value.asLong();
    }
}
