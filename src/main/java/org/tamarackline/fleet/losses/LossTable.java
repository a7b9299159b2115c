package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Writes what became of the time of jobs as text: a row for each queue, one for all, and one for each of the jobs that lost most. */
public final class LossTable {

    private static final double MS_PER_S = 1_000;

    private LossTable() {}

    /** What the jobs of a queue have in common. */
    private static final class QueueRow {
        private final LossSums sums = new LossSums();
        private int jobs;
        private int neverStored;
        private int completed;

        void add(JobLoss loss) {
            jobs++;
            neverStored += loss.accepted() ? 0 : 1;
            completed += loss.state().equals("COMPLETED") ? 1 : 0;
            sums.addAll(loss.sums());
        }
    }

    /**
     * Returns the lines of the table.
     *
     * @param losses the jobs, those that lost most time first
     * @param slowest number of jobs that get a row of their own
     */
    public static List<String> lines(List<JobLoss> losses, int slowest) {
        QueueRow all = new QueueRow();
        Map<String, QueueRow> queues = new TreeMap<>();
        for (JobLoss loss : losses) {
            all.add(loss);
            queues.computeIfAbsent(loss.queue(), queue -> new QueueRow()).add(loss);
        }
        List<String> lines = new ArrayList<>();
        lines.add("%-20s %6s %9s %8s %s".formatted("queue, times in s", "jobs", "completed", "unstored", headings()));
        queues.forEach((queue, row) -> lines.add(queueLine(queue, row)));
        lines.add(queueLine("all", all));
        lines.add("");
        lines.add("%-20s %-16s %9s %s".formatted("slowest jobs", "queue", "state", headings()));
        losses.stream().limit(slowest).forEach(loss -> lines.add(jobLine(loss)));
        return lines;
    }

    private static String headings() {
        StringBuilder text = new StringBuilder("%9s".formatted("total"));
        for (LossCause cause : LossCause.values()) {
            text.append(" %9s".formatted(cause.label()));
        }
        return text.toString();
    }

    private static String queueLine(String queue, QueueRow row) {
        return "%-20s %6d %9d %8d %s".formatted(queue, row.jobs, row.completed, row.neverStored, times(row.sums));
    }

    private static String jobLine(JobLoss loss) {
        return "%-20s %-16s %9s %s".formatted(loss.job(), loss.queue(), loss.state(), times(loss.sums()));
    }

    private static String times(LossSums sums) {
        StringBuilder text = new StringBuilder(seconds(sums.totalMs()));
        for (LossCause cause : LossCause.values()) {
            text.append(' ').append(seconds(sums.ms(cause)));
        }
        return text.toString();
    }

    private static String seconds(long timeMs) {
        return String.format(Locale.ROOT, "%9.1f", timeMs / MS_PER_S);
    }
}
