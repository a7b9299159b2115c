package org.tamarackline.entry.jobs;

import java.io.IOException;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.tamarackline.core.model.Identifiers;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/** Reads a submission and says precisely what is wrong with it. */
final class SubmissionParser {

    /** Longest body of a submission, in bytes. */
    static final int MAX_BODY_BYTES = 32 * 1024;

    /** Longest command, in characters of JSON; it is repeated in the row of each task. */
    private static final int MAX_COMMAND_CHARACTERS = 4 * 1024;

    private static final int MAX_KEY_LENGTH = 128;
    private static final long MAX_PROCESSOR_MILLIS = 1_024_000;
    private static final long MAX_MEMORY_MB = 16L * 1024 * 1024;
    private static final int MAX_ACCELERATORS = 64;

    private static final Set<String> FIELDS = Set.of("team", "profile", "tasks", "command", "resources");
    private static final Set<String> RESOURCE_FIELDS = Set.of("processorMillis", "memoryMb", "accelerators");

    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final int maxTasks;

    SubmissionParser(int maxTasks) {
        this.maxTasks = maxTasks;
    }

    Submission parse(byte[] body, Optional<String> idempotencyKey) throws JobRefusedException {
        JsonNode root = read(body);
        checkFields(root, FIELDS, "the submission");
        JsonNode command = root.path("command");
        if (!command.isObject() || command.toString().length() > MAX_COMMAND_CHARACTERS) {
            throw invalid("\"command\" must be an object of at most %d characters".formatted(MAX_COMMAND_CHARACTERS));
        }
        checkKey(idempotencyKey);
        return new Submission(
                new TeamName(identifier(root, "team")),
                new ProfileName(identifier(root, "profile")),
                (int) number(root, "tasks", 1, maxTasks),
                command,
                resources(root.path("resources")),
                idempotencyKey);
    }

    private static JsonNode read(byte[] body) throws JobRefusedException {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw invalid("the body is not valid JSON");
        }
    }

    private static void checkKey(Optional<String> key) throws JobRefusedException {
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH)) {
            throw invalid("Idempotency-Key must have 1 to %d characters".formatted(MAX_KEY_LENGTH));
        }
    }

    private static Resources resources(JsonNode node) throws JobRefusedException {
        checkFields(node, RESOURCE_FIELDS, "\"resources\"");
        return new Resources(
                number(node, "processorMillis", 1, MAX_PROCESSOR_MILLIS),
                number(node, "memoryMb", 1, MAX_MEMORY_MB),
                node.has("accelerators") ? (int) number(node, "accelerators", 0, MAX_ACCELERATORS) : 0);
    }

    private static void checkFields(JsonNode node, Set<String> allowed, String where) throws JobRefusedException {
        if (node == null || !node.isObject()) {
            throw invalid(where + " must be a JSON object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!allowed.contains(name)) {
                throw invalid("%s has an unknown field; allowed are %s".formatted(where, allowed));
            }
        }
    }

    private static String identifier(JsonNode node, String field) throws JobRefusedException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || !Identifiers.isValid(value.textValue())) {
            throw invalid("\"%s\" must be 1 to %d letters, digits, spaces or ._:-, starting with a letter or digit"
                    .formatted(field, Identifiers.MAX_LENGTH));
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String field, long least, long most) throws JobRefusedException {
        JsonNode value = node.path(field);
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= least
                && value.longValue() <= most;
        if (!valid) {
            throw invalid("\"%s\" must be a whole number from %d to %d".formatted(field, least, most));
        }
        return value.longValue();
    }

    private static JobRefusedException invalid(String detail) {
        return new JobRefusedException(JobErrorCode.INVALID_REQUEST, detail);
    }
}
