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

/** Parses and validates the body of a submission; a refusal names the invalid field and its limits. */
final class SubmissionParser {

    /** Largest body of a submission, in bytes. */
    static final int MAX_BODY_BYTES = 32 * 1024;

    /** Longest command, in characters of JSON; limited because the row of each task holds a copy. */
    private static final int MAX_COMMAND_CHARACTERS = 4 * 1024;

    private static final int MAX_KEY_LENGTH = 128;
    private static final long MAX_PROCESSOR_MILLIS = 1_024_000;
    private static final long MAX_MEMORY_MB = 16L * 1024 * 1024;
    private static final int MAX_ACCELERATORS = 64;

    private static final Set<String> SUBMISSION_FIELDS = Set.of("team", "profile", "tasks", "command", "resources");
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
        JsonNode root = parseJson(body);
        checkFields(root, SUBMISSION_FIELDS, "the submission");
        JsonNode command = root.path("command");
        if (!command.isObject() || command.toString().length() > MAX_COMMAND_CHARACTERS) {
            throw invalid("\"command\" must be an object of at most %d characters".formatted(MAX_COMMAND_CHARACTERS));
        }
        checkIdempotencyKey(idempotencyKey);
        return new Submission(
                new TeamName(readIdentifier(root, "team")),
                new ProfileName(readIdentifier(root, "profile")),
                (int) readNumber(root, "tasks", 1, maxTasks),
                command,
                readResources(root.path("resources")),
                idempotencyKey);
    }

    private static JsonNode parseJson(byte[] body) throws JobRefusedException {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw invalid("the body must be valid JSON");
        }
    }

    private static void checkIdempotencyKey(Optional<String> key) throws JobRefusedException {
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH)) {
            throw invalid("Idempotency-Key must have 1 to %d characters".formatted(MAX_KEY_LENGTH));
        }
    }

    private static Resources readResources(JsonNode node) throws JobRefusedException {
        checkFields(node, RESOURCE_FIELDS, "\"resources\"");
        return new Resources(
                readNumber(node, "processorMillis", 1, MAX_PROCESSOR_MILLIS),
                readNumber(node, "memoryMb", 1, MAX_MEMORY_MB),
                node.has("accelerators") ? (int) readNumber(node, "accelerators", 0, MAX_ACCELERATORS) : 0);
    }

    private static void checkFields(JsonNode node, Set<String> allowed, String subject) throws JobRefusedException {
        if (node == null || !node.isObject()) {
            throw invalid(subject + " must be a JSON object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!allowed.contains(name)) {
                throw invalid("%s has an unknown field; allowed are %s".formatted(subject, allowed));
            }
        }
    }

    private static String readIdentifier(JsonNode node, String field) throws JobRefusedException {
        JsonNode value = node.path(field);
        if (!value.isTextual() || !Identifiers.isValid(value.textValue())) {
            throw invalid("\"%s\" must be 1 to %d letters, digits, spaces or ._:-, starting with a letter or digit"
                    .formatted(field, Identifiers.MAX_LENGTH));
        }
        return value.textValue();
    }

    private static long readNumber(JsonNode node, String field, long min, long max) throws JobRefusedException {
        JsonNode value = node.path(field);
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max;
        if (!valid) {
            throw invalid("\"%s\" must be a whole number from %d to %d".formatted(field, min, max));
        }
        return value.longValue();
    }

    private static JobRefusedException invalid(String detail) {
        return new JobRefusedException(JobErrorCode.INVALID_REQUEST, detail);
    }
}
