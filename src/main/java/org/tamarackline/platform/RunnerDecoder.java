package org.tamarackline.platform;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;
import org.tamarackline.json.JsonNumbers;
import org.tamarackline.settings.Addresses;

/** Decodes the directory entries of runners and the status that they return to a poll. */
final class RunnerDecoder {

    /** Form of the label that names the rack, such as r1-3; the other labels are kinds of runners. */
    private static final Pattern RACK_LABEL = Pattern.compile("r\\d+-\\d+");

    /** Form of an identifier, which is sent in a header and written to the log. */
    private static final Pattern RUNNER_ID = Pattern.compile("[!-~]{1,200}");

    /**
     * Bounds on one runner. They are far above any machine, and small enough that the sums over a million runners fit
     * into the numbers that hold them: a million processors in thousandths, a petabyte in megabytes, and 1,000
     * accelerators, which are summed as 32-bit numbers.
     */
    private static final long MAX_PROCESSOR_MILLIS = 1_000_000_000;

    private static final long MAX_MEMORY_MB = 1_000_000_000;
    private static final long MAX_ACCELERATORS = 1_000;

    private static final int MAX_LABELS = 100;
    private static final int MAX_LABEL_LENGTH = 200;

    /** A larger percentage, latency or use of processors is no measurement. */
    private static final double MAX_MEASUREMENT = 1e9;

    private RunnerDecoder() {}

    /**
     * Returns the descriptor in a directory entry.
     *
     * @throws RejectedEntryException if the entry does not describe a usable runner
     */
    static RunnerDescriptor decodeDescriptor(String id, byte[] value) throws RejectedEntryException {
        if (!RUNNER_ID.matcher(id).matches()) {
            throw new RejectedEntryException("its key is not an identifier");
        }
        JsonNode root = Json.parse(value)
                .orElseThrow(() -> new RejectedEntryException("it is not a JSON object, or nests too deeply"));
        String state = requiredText(root, "state");
        if (!state.equals("ready") && !state.equals("draining")) {
            throw new RejectedEntryException("state is neither ready nor draining");
        }
        String address = requiredText(root, "address");
        if (!Addresses.isIpAndPort(address)) {
            throw new RejectedEntryException("address is not an IPv4 address and a port");
        }
        JsonNode capacity = root.path("capacity");
        Resources resources = new Resources(
                requiredNumber(capacity, "cpu", MAX_PROCESSOR_MILLIS),
                requiredNumber(capacity, "memMb", MAX_MEMORY_MB),
                (int) optionalNumber(capacity, "gpu", MAX_ACCELERATORS));
        for (String unused : List.of("slots", "sequence")) {
            optionalNumber(root, unused, JsonNumbers.MAX_EXACT);
        }
        Set<String> labels = decodeLabels(root.path("labels"));
        return new RunnerDescriptor(
                id,
                optionalNumber(root, "born", JsonNumbers.MAX_EXACT),
                requiredText(root, "service"),
                address,
                optionalText(root, "zone"),
                labels.stream()
                        .filter(label -> RACK_LABEL.matcher(label).matches())
                        .findFirst()
                        .orElse(""),
                state.equals("draining"),
                resources,
                labels);
    }

    private static String requiredText(JsonNode object, String field) throws RejectedEntryException {
        JsonNode value = object.path(field);
        if (!value.isTextual()) {
            throw new RejectedEntryException(field + " is missing or not a text");
        }
        return value.textValue();
    }

    private static String optionalText(JsonNode object, String field) throws RejectedEntryException {
        return object.path(field).isMissingNode() ? "" : requiredText(object, field);
    }

    private static long requiredNumber(JsonNode object, String field, long max) throws RejectedEntryException {
        return JsonNumbers.whole(object.path(field), 0, max)
                .orElseThrow(() ->
                        new RejectedEntryException("%s is not a whole number from 0 to %d".formatted(field, max)));
    }

    /** Returns 0 if the field is missing. */
    private static long optionalNumber(JsonNode object, String field, long max) throws RejectedEntryException {
        return object.path(field).isMissingNode() ? 0 : requiredNumber(object, field, max);
    }

    private static Set<String> decodeLabels(JsonNode labels) throws RejectedEntryException {
        boolean absent = labels.isMissingNode() || labels.isNull();
        if (!absent && (!labels.isArray() || labels.size() > MAX_LABELS)) {
            throw new RejectedEntryException("labels is not an array of at most %d texts".formatted(MAX_LABELS));
        }
        Set<String> decoded = new LinkedHashSet<>();
        for (JsonNode label : labels) {
            if (!label.isTextual() || label.textValue().length() > MAX_LABEL_LENGTH) {
                throw new RejectedEntryException(
                        "a label is not a text of at most %d characters".formatted(MAX_LABEL_LENGTH));
            }
            decoded.add(label.textValue());
        }
        return decoded;
    }

    /**
     * Returns the status in a response to a poll; empty if any part of it is malformed. A status without a run that
     * could not be read would let the task of that run start a second time, and a status without the incarnation would
     * count as the status of another one.
     */
    static Optional<RunnerStatus> decodeStatus(byte[] body) {
        Optional<JsonNode> root = Json.parse(body);
        if (root.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(decodeStatus(root.get()));
        } catch (RejectedEntryException malformed) {
            return Optional.empty();
        }
    }

    private static RunnerStatus decodeStatus(JsonNode root) throws RejectedEntryException {
        List<RunnerStatus.ActiveRun> running = new ArrayList<>();
        for (JsonNode row : rows(root, "running")) {
            running.add(new RunnerStatus.ActiveRun(
                    task(row, 0),
                    positiveNumber(row, 1),
                    textOrEmpty(row, 2),
                    measurement(row, 3, 0),
                    measurement(row, 4, -1)));
        }
        List<RunnerStatus.EndedRun> ended = new ArrayList<>();
        for (JsonNode row : rows(root, "ended")) {
            ended.add(new RunnerStatus.EndedRun(
                    positiveNumber(row, 0),
                    task(row, 1),
                    positiveNumber(row, 2),
                    decodeEndReason(row.path(3)),
                    textOrEmpty(row, 4)));
        }
        long processStartEpochMs = JsonNumbers.whole(root.path("born"), 1, JsonNumbers.MAX_EXACT)
                .orElseThrow(() -> new RejectedEntryException("born is not a time"));
        long clockMs = JsonNumbers.truncated(root.path("clockMs"), 0, JsonNumbers.MAX_EXACT)
                .orElseThrow(() -> new RejectedEntryException("clockMs is not a time"));
        return new RunnerStatus(processStartEpochMs, clockMs, running, ended);
    }

    /** Returns the rows of a list, which may be null but not missing. */
    private static JsonNode rows(JsonNode root, String field) throws RejectedEntryException {
        JsonNode rows = root.path(field);
        if (!rows.isArray() && !rows.isNull()) {
            throw new RejectedEntryException(field + " is missing or not an array");
        }
        return rows;
    }

    private static TaskKey task(JsonNode row, int column) throws RejectedEntryException {
        return TaskKeyFormat.parse(row.path(column).asText())
                .orElseThrow(() -> new RejectedEntryException("a row does not name a task"));
    }

    private static long positiveNumber(JsonNode row, int column) throws RejectedEntryException {
        return JsonNumbers.whole(row.path(column), 1, JsonNumbers.MAX_EXACT)
                .orElseThrow(() -> new RejectedEntryException("a number of a row is not a positive whole number"));
    }

    private static String textOrEmpty(JsonNode row, int column) throws RejectedEntryException {
        JsonNode value = row.path(column);
        if (value.isMissingNode() || value.isNull()) {
            return "";
        }
        if (!value.isTextual()) {
            throw new RejectedEntryException("a checkpoint is not a text");
        }
        return value.textValue();
    }

    private static double measurement(JsonNode row, int column, double ifAbsent) throws RejectedEntryException {
        JsonNode value = row.path(column);
        if (value.isMissingNode() || value.isNull()) {
            return ifAbsent;
        }
        // False for values that are not finite.
        if (!value.isNumber() || !(Math.abs(value.doubleValue()) <= MAX_MEASUREMENT)) {
            throw new RejectedEntryException("a measurement is not a number within bounds");
        }
        return value.doubleValue();
    }

    private static EndReason decodeEndReason(JsonNode reason) throws RejectedEntryException {
        if (!reason.isTextual()) {
            throw new RejectedEntryException("the reason of an end is not a text");
        }
        return switch (reason.textValue()) {
            case "done" -> EndReason.DONE;
            case "failed" -> EndReason.FAILED;
            case "lapsed" -> EndReason.LEASE_EXPIRED;
            case "broken" -> EndReason.GANG_BROKEN;
            case "alone" -> EndReason.GANG_INCOMPLETE;
            default -> EndReason.STOPPED;
        };
    }
}
