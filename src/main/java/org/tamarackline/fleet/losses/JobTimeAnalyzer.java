package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes from the log lines of all nodes how each job spent its time.
 *
 * <p>Each moment of a job counts for one {@link TimeCategory}. Jobs whose submission is not in the logs are left out.
 */
public final class JobTimeAnalyzer {

    private final List<LogLine> lines = new ArrayList<>();

    /** Adds a log line; ignores lines without an event. */
    public void add(String text) {
        LogLine.parse(text).ifPresent(lines::add);
    }

    /** Returns the time breakdowns of the jobs, ordered by lost time, longest first. */
    public List<JobTimeBreakdown> breakdowns() {
        lines.sort(Comparator.comparingLong(LogLine::timeMs));
        long endMs = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).timeMs();
        WaitHistory waits = new WaitHistory();
        Map<String, JobHistory> histories = new LinkedHashMap<>();
        for (LogLine line : lines) {
            waits.add(line);
            addTo(histories, line);
        }
        waits.finish(endMs);
        List<JobTimeBreakdown> breakdowns = new ArrayList<>();
        for (JobHistory history : histories.values()) {
            if (history.submitted()) {
                TimeByCategory times = history.attribute(waits, endMs);
                breakdowns.add(new JobTimeBreakdown(
                        history.id(), history.queue(), history.state(), history.accepted(), times));
            }
        }
        breakdowns.sort(Comparator.comparingLong(
                (JobTimeBreakdown breakdown) -> -breakdown.times().lostMs()));
        return breakdowns;
    }

    private static void addTo(Map<String, JobHistory> histories, LogLine line) {
        if (line.event().equals("runner-lost")) {
            histories.values().forEach(history -> history.onRunnerLost(line.text("runner"), line.timeMs()));
            return;
        }
        String job = line.text("job");
        if (!job.isEmpty()) {
            histories.computeIfAbsent(job, JobHistory::new).add(line);
        }
    }
}
