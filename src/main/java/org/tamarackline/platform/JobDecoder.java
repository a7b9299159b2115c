package org.tamarackline.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobLimits;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.StepDefinition;
import org.tamarackline.core.model.Resources;
import org.tamarackline.json.JsonNumbers;

/** Decodes jobs that callers submit as JSON, and checks their size and the range of each field. */
final class JobDecoder {

    private static final int MAX_SPEC_LENGTH = 4_000;

    /** Labels and names of images are short; they are stored with each job and compared at each placement. */
    private static final int MAX_NAME_LENGTH = 256;

    private static final int MAX_QUOTED_LENGTH = 60;

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
        if (!steps.isArray() || steps.isEmpty() || steps.size() > JobLimits.MAX_STEPS) {
            throw new InvalidJobException("steps must be an array of 1 to %d steps".formatted(JobLimits.MAX_STEPS));
        }
        List<StepDefinition> definitions = new ArrayList<>();
        int taskCount = 0;
        for (JsonNode step : steps) {
            StepDefinition definition = decodeStep(step, definitions.size());
            definitions.add(definition);
            taskCount += definition.count();
        }
        if (taskCount > JobLimits.MAX_TASKS) {
            throw new InvalidJobException(
                    "the job has %d tasks; at most %d are allowed".formatted(taskCount, JobLimits.MAX_TASKS));
        }
        int scheduledOccurrences = (int) numberOrZero(root, "repeats", JobLimits.MAX_SCHEDULED_OCCURRENCES);
        long allTasks = (long) taskCount * Math.max(1, scheduledOccurrences);
        if (allTasks > JobLimits.MAX_TASKS_OF_ALL_OCCURRENCES) {
            throw new InvalidJobException("all occurrences together have %d tasks; at most %d are allowed"
                    .formatted(allTasks, JobLimits.MAX_TASKS_OF_ALL_OCCURRENCES));
        }
        return new JobDefinition(
                id,
                queue,
                spec.asText(""),
                definitions,
                scheduledOccurrences,
                numberOrZero(root, "firstMs", JobLimits.MAX_FIRST_DUE_EPOCH_MS),
                numberOrZero(root, "intervalMs", JobLimits.MAX_INTERVAL_MS),
                acceptedEpochMs);
    }

    private static StepDefinition decodeStep(JsonNode step, int index) throws InvalidJobException {
        if (!step.isObject()) {
            throw new InvalidJobException("step %d must be an object".formatted(index));
        }
        int count = (int) numberOrZero(step, "count", JobLimits.MAX_TASKS);
        if (count == 0) {
            throw new InvalidJobException(
                    "count of step %d must be from 1 to %d".formatted(index, JobLimits.MAX_TASKS));
        }
        Resources resources = new Resources(
                numberOrZero(step, "cpu", Integer.MAX_VALUE), numberOrZero(step, "memMb", Integer.MAX_VALUE), (int)
                        numberOrZero(step, "gpu", Integer.MAX_VALUE));
        return new StepDefinition(
                count,
                resources,
                numberOrZero(step, "estMs", Integer.MAX_VALUE),
                decodeDependencies(step.path("after"), index),
                step.path("checkpointed").asBoolean(),
                step.path("gang").asBoolean(),
                step.path("sameRack").asBoolean(),
                textOrEmpty(step, "requirements"),
                // The rack of the input data, not an affinity between tasks.
                textOrEmpty(step, "affinity"),
                (int) numberOrZero(step, "antiAffinity", Integer.MAX_VALUE),
                step.path("speculative").asBoolean(),
                step.path("longRunning").asBoolean(),
                textOrEmpty(step, "image"),
                numberOrZero(step, "targetMs", Integer.MAX_VALUE),
                step.path("fills").asBoolean(),
                (int) numberOrZero(step, "mayMiss", Integer.MAX_VALUE));
    }

    private static List<Integer> decodeDependencies(JsonNode after, int index) throws InvalidJobException {
        boolean absent = after.isMissingNode() || after.isNull();
        if (!absent && (!after.isArray() || after.size() > JobLimits.MAX_STEPS)) {
            throw new InvalidJobException(
                    "after of step %d must be an array of at most %d numbers".formatted(index, JobLimits.MAX_STEPS));
        }
        List<Integer> dependencies = new ArrayList<>();
        for (JsonNode dependency : after) {
            OptionalLong position = JsonNumbers.whole(dependency, 0, index - 1L);
            if (position.isEmpty()) {
                throw new InvalidJobException(
                        "step %d may only depend on earlier steps, not on %s".formatted(index, quoted(dependency)));
            }
            dependencies.add((int) position.getAsLong());
        }
        return dependencies;
    }

    private static String textOrEmpty(JsonNode object, String field) throws InvalidJobException {
        JsonNode value = object.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return "";
        }
        if (!value.isTextual() || value.textValue().length() > MAX_NAME_LENGTH) {
            throw new InvalidJobException(
                    "%s must be a string of at most %d characters".formatted(field, MAX_NAME_LENGTH));
        }
        return value.textValue();
    }

    private static long numberOrZero(JsonNode object, String field, long max) throws InvalidJobException {
        JsonNode value = object.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        return JsonNumbers.truncated(value, 0, max)
                .orElseThrow(() -> new InvalidJobException(
                        "%s must be a number from 0 to %d, not %s".formatted(field, max, quoted(value))));
    }

    private static String quoted(JsonNode value) {
        String text = value.toString();
        return text.length() > MAX_QUOTED_LENGTH ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text;
    }
}
