package org.tamarackline.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Collects the log lines of all nodes that explain what happened to one job: the job's own lines, and from the same
 * period the lines about changes of leader, store outages and the job's runners.
 */
public final class JobTrace {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Time in milliseconds before the first and after the last line of the job within which other lines are included.
     */
    private static final long MARGIN_MS = 1_000;

    private static final String JOB = "job";
    private static final String RUNNER = "runner";

    private final String job;
    private final List<Line> jobLines = new ArrayList<>();
    private final List<Line> otherLines = new ArrayList<>();

    private record Line(long timeMs, String text, String runner) {}

    /** Creates a trace without lines. */
    public JobTrace(String job) {
        this.job = job;
    }

    /** Adds a log line; ignores text before the JSON object, and lines without one. */
    public void add(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return;
        }
        JsonNode json;
        try {
            json = MAPPER.readTree(text.substring(start));
        } catch (IOException notJson) {
            return;
        }
        Line line = new Line(
                json.path("timeMs").asLong(),
                text.substring(start),
                json.path(RUNNER).asText(""));
        if (json.path(JOB).asText("").equals(job)) {
            jobLines.add(line);
        } else if (json.path(JOB).isMissingNode() && json.path("event").isTextual()) {
            otherLines.add(line);
        }
    }

    /** Returns the selected lines in order of time; empty if no line names the job. */
    public List<String> lines() {
        if (jobLines.isEmpty()) {
            return List.of();
        }
        long firstMs = jobLines.stream().mapToLong(Line::timeMs).min().orElseThrow() - MARGIN_MS;
        long lastMs = jobLines.stream().mapToLong(Line::timeMs).max().orElseThrow() + MARGIN_MS;
        Set<String> runners = new HashSet<>();
        jobLines.forEach(line -> runners.add(line.runner()));
        List<Line> selected = new ArrayList<>(jobLines);
        for (Line line : otherLines) {
            boolean relevant = line.runner().isEmpty() || runners.contains(line.runner());
            if (relevant && line.timeMs() >= firstMs && line.timeMs() <= lastMs) {
                selected.add(line);
            }
        }
        selected.sort(Comparator.comparingLong(Line::timeMs));
        return selected.stream().map(Line::text).toList();
    }
}
