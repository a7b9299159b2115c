package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Formats the time breakdowns of jobs as a text table: a row for each queue, one for all jobs, and one for each of the
 * jobs that lost most time.
 */
public final class TimeBreakdownTable {

    private static final double MS_PER_S = 1_000;

    private TimeBreakdownTable() {}

    /** Sums over the jobs of a queue. */
    private static final class QueueRow {
        private final TimeByCategory times = new TimeByCategory();
        private int jobs;
        private int neverStored;
        private int completed;

        void add(JobTimeBreakdown breakdown) {
            jobs++;
            neverStored += breakdown.accepted() ? 0 : 1;
            completed += breakdown.state().equals("COMPLETED") ? 1 : 0;
            times.addAll(breakdown.times());
        }
    }

    /**
     * Returns the lines of the table.
     *
     * @param breakdowns breakdowns of the jobs, ordered by lost time, longest first
     * @param slowest number of jobs that get a row of their own
     */
    public static List<String> lines(List<JobTimeBreakdown> breakdowns, int slowest) {
        QueueRow all = new QueueRow();
        Map<String, QueueRow> queues = new TreeMap<>();
        for (JobTimeBreakdown breakdown : breakdowns) {
            all.add(breakdown);
            queues.computeIfAbsent(breakdown.queue(), queue -> new QueueRow()).add(breakdown);
        }
        List<String> lines = new ArrayList<>();
        lines.add("%-20s %6s %9s %8s %s".formatted("queue, times in s", "jobs", "completed", "unstored", headings()));
        queues.forEach((queue, row) -> lines.add(queueLine(queue, row)));
        lines.add(queueLine("all", all));
        lines.add("");
        lines.add("%-20s %-16s %9s %s".formatted("slowest jobs", "queue", "state", headings()));
        breakdowns.stream().limit(slowest).forEach(breakdown -> lines.add(jobLine(breakdown)));
        return lines;
    }

    private static String headings() {
        StringBuilder text = new StringBuilder("%9s".formatted("total"));
        for (TimeCategory category : TimeCategory.values()) {
            text.append(" %9s".formatted(category.label()));
        }
        return text.toString();
    }

    private static String queueLine(String queue, QueueRow row) {
        return "%-20s %6d %9d %8d %s"
                .formatted(queue, row.jobs, row.completed, row.neverStored, timeColumns(row.times));
    }

    private static String jobLine(JobTimeBreakdown breakdown) {
        return "%-20s %-16s %9s %s"
                .formatted(breakdown.job(), breakdown.queue(), breakdown.state(), timeColumns(breakdown.times()));
    }

    private static String timeColumns(TimeByCategory times) {
        StringBuilder text = new StringBuilder(seconds(times.totalMs()));
        for (TimeCategory category : TimeCategory.values()) {
            text.append(' ').append(seconds(times.ms(category)));
        }
        return text.toString();
    }

    private static String seconds(long timeMs) {
        return String.format(Locale.ROOT, "%9.1f", timeMs / MS_PER_S);
    }
}
