package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Works out from the log lines of all nodes where the time of each job went.
 *
 * <p>Each moment of a job counts for one {@link LossCause}. Jobs of which no submission is logged are left out.
 */
public final class JobLosses {

    private final List<LogLine> lines = new ArrayList<>();

    /** Takes a line of a log; lines without an event are passed over. */
    public void add(String text) {
        LogLine.parse(text).ifPresent(lines::add);
    }

    /** Returns the jobs, those that lost most time first. */
    public List<JobLoss> jobs() {
        lines.sort(Comparator.comparingLong(LogLine::timeMs));
        long endMs = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).timeMs();
        WaitHistory waits = new WaitHistory();
        Map<String, JobHistory> histories = new LinkedHashMap<>();
        for (LogLine line : lines) {
            waits.add(line);
            addTo(histories, line);
        }
        waits.close(endMs);
        List<JobLoss> losses = new ArrayList<>();
        for (JobHistory history : histories.values()) {
            if (history.submitted()) {
                LossSums sums = history.attribute(waits, endMs);
                losses.add(new JobLoss(history.id(), history.queue(), history.state(), history.accepted(), sums));
            }
        }
        losses.sort(Comparator.comparingLong((JobLoss loss) -> -loss.sums().lostMs()));
        return losses;
    }

    private static void addTo(Map<String, JobHistory> histories, LogLine line) {
        if (line.event().equals("runner-lost")) {
            histories.values().forEach(history -> history.runnerLost(line.text("runner"), line.timeMs()));
            return;
        }
        String job = line.text("job");
        if (!job.isEmpty()) {
            histories.computeIfAbsent(job, JobHistory::new).add(line);
        }
    }
}
