package org.tamarackline.fleet.losses;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Line of a node's log.
 *
 * @param timeMs time of day in milliseconds since 1970
 * @param node name of the node
 * @param event name of the event
 * @param fields all fields of the line
 */
record LogLine(long timeMs, String node, String event, JsonNode fields) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses a line, ignoring text before the JSON object; empty if there is no JSON object with an event. */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        JsonNode json;
        try {
            json = MAPPER.readTree(text.substring(start));
        } catch (IOException notJson) {
            return Optional.empty();
        }
        if (!json.path("event").isTextual() || !json.path("timeMs").isNumber()) {
            return Optional.empty();
        }
        LogLine line = new LogLine(
                json.path("timeMs").asLong(),
                json.path("node").asText(""),
                json.path("event").asText(),
                json);
        return Optional.of(line);
    }

    String text(String field) {
        return fields.path(field).asText("");
    }

    long number(String field) {
        return fields.path(field).asLong();
    }

    boolean flag(String field) {
        return fields.path(field).asBoolean();
    }
}
