package org.tamarackline.platform;

import java.util.ArrayList;
import java.util.HashSet;
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

/** Decodes the directory entries of runners and the status that they return to a poll. */
final class RunnerDecoder {

    /** Form of the label that names the rack, such as r1-3; the other labels are kinds of runners. */
    private static final Pattern RACK_LABEL = Pattern.compile("r\\d+-\\d+");

    private RunnerDecoder() {}

    /** Returns the descriptor in a directory entry; empty if the entry does not describe a usable runner. */
    static Optional<RunnerDescriptor> decodeDescriptor(String id, byte[] value) {
        return Json.parse(value).flatMap(root -> decodeDescriptor(id, root));
    }

    private static Optional<RunnerDescriptor> decodeDescriptor(String id, JsonNode root) {
        JsonNode capacity = root.path("capacity");
        String state = root.path("state").asText();
        boolean knownState = state.equals("ready") || state.equals("draining");
        boolean complete = root.path("service").isTextual()
                && validAddress(root.path("address"))
                && capacity.path("cpu").isNumber()
                && capacity.path("memMb").isNumber();
        if (!knownState || !complete) {
            return Optional.empty();
        }
        Set<String> labels = new HashSet<>();
        String rack = "";
        for (JsonNode label : root.path("labels")) {
            labels.add(label.asText());
            if (RACK_LABEL.matcher(label.asText()).matches()) {
                rack = label.asText();
            }
        }
        return Optional.of(new RunnerDescriptor(
                id,
                root.path("born").asLong(0),
                root.path("service").textValue(),
                root.path("address").textValue(),
                root.path("zone").asText(""),
                rack,
                state.equals("draining"),
                new Resources(
                        capacity.path("cpu").asLong(),
                        capacity.path("memMb").asLong(),
                        capacity.path("gpu").asInt(0)),
                labels));
    }

    private static boolean validAddress(JsonNode address) {
        return address.isTextual() && address.textValue().matches("[0-9.]+:\\d{1,5}");
    }

    /** Returns the status in a response to a poll; empty if the response is malformed. */
    static Optional<RunnerStatus> decodeStatus(byte[] body) {
        Optional<JsonNode> root = Json.parse(body);
        if (root.isEmpty() || !root.get().path("clockMs").isNumber()) {
            return Optional.empty();
        }
        List<RunnerStatus.ActiveRun> running = new ArrayList<>();
        for (JsonNode row : root.get().path("running")) {
            Optional<TaskKey> task = TaskKeyFormat.parse(row.path(0).asText());
            task.ifPresent(key -> running.add(new RunnerStatus.ActiveRun(
                    key,
                    row.path(1).asLong(),
                    row.path(2).asText(""),
                    row.path(3).asDouble(),
                    row.path(4).asDouble(-1))));
        }
        List<RunnerStatus.EndedRun> ended = new ArrayList<>();
        for (JsonNode row : root.get().path("ended")) {
            Optional<TaskKey> task = TaskKeyFormat.parse(row.path(1).asText());
            task.ifPresent(key -> ended.add(new RunnerStatus.EndedRun(
                    row.path(0).asLong(),
                    key,
                    row.path(2).asLong(),
                    decodeEndReason(row.path(3).asText()),
                    row.path(4).asText(""))));
        }
        return Optional.of(new RunnerStatus(
                root.get().path("born").asLong(0), root.get().path("clockMs").asLong(), running, ended));
    }

    private static EndReason decodeEndReason(String text) {
        return switch (text) {
            case "done" -> EndReason.DONE;
            case "failed" -> EndReason.FAILED;
            case "lapsed" -> EndReason.LEASE_EXPIRED;
            case "broken" -> EndReason.GANG_BROKEN;
            case "alone" -> EndReason.GANG_INCOMPLETE;
            default -> EndReason.STOPPED;
        };
    }
}
