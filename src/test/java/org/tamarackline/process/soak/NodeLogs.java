package org.tamarackline.process.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** The lines of all nodes' logs that tell of leaders, runners, starts and stops, and from them who leads. */
final class NodeLogs {

    private static final Set<String> KEPT_EVENTS = Set.of(
            "leader-followed",
            "leader-suspected",
            "leader-started",
            "leader-ready",
            "leader-ended",
            "leader-resigned",
            "leader-kept",
            "leader-yields",
            "leader-state",
            "resignation-failed",
            "takeover-failed",
            "earlier-leaders-ended",
            "runner-silent",
            "runner-back",
            "runner-lost",
            "runner-restarted",
            "run-lost",
            "start",
            "adopt",
            "cancellation-read",
            "stop",
            "stop-unconfirmed",
            "cancelled-run-ended",
            "node-start",
            "node-stop");

    /** A line of a node's log. */
    record Line(long nanos, String node, String event, JsonNode fields) {}

    /**
     * A node that has begun to lead.
     *
     * @param startedNanos when it began, or 0 before any node has
     */
    record LeaderStart(String node, long epoch, long startedNanos) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final SoakClock clock;
    private final List<Line> lines = new ArrayList<>();
    private LeaderStart latest = new LeaderStart("", 0, 0);

    NodeLogs(SoakClock clock) {
        this.clock = clock;
    }

    /** Takes a line of a node's output, which may be another program's message. */
    void add(String text) {
        JsonNode fields;
        try {
            fields = mapper.readTree(text);
        } catch (JsonProcessingException notJson) {
            return;
        }
        if (KEPT_EVENTS.contains(fields.path("event").asText())) {
            add(new Line(
                    clock.nanosAtEpochMs(fields.path("timeMs").asLong()),
                    fields.path("node").asText(),
                    fields.path("event").asText(),
                    fields));
        }
    }

    private synchronized void add(Line line) {
        lines.add(line);
        long epoch = line.fields().path("epoch").asLong();
        if (line.event().equals("leader-started") && epoch > latest.epoch()) {
            latest = new LeaderStart(line.node(), epoch, line.nanos());
        }
    }

    /** Returns the node that began to lead last; it may have ended since. */
    synchronized LeaderStart latestLeader() {
        return latest;
    }

    /** Returns the lines of an event. */
    List<Line> lines(String event) {
        return between(Long.MIN_VALUE, Long.MAX_VALUE).stream()
                .filter(line -> line.event().equals(event))
                .toList();
    }

    /** Returns the lines between two times, in the order of time. */
    synchronized List<Line> between(long fromNanos, long toNanos) {
        return lines.stream()
                .filter(line -> line.nanos() >= fromNanos && line.nanos() <= toNanos)
                .sorted((first, second) -> Long.compare(first.nanos(), second.nanos()))
                .toList();
    }
}
