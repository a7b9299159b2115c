package org.tamarackline.fleet.losses;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how the time of jobs is attributed to categories. */
class JobTimeAnalyzerTest {

    private final JobTimeAnalyzer analyzer = new JobTimeAnalyzer();

    private void line(long timeMs, String node, String event, String fields) {
        analyzer.add("  0.1 %s {\"timeMs\":%d,\"node\":\"%s\",\"event\":\"%s\"%s}"
                .formatted(node, timeMs, node, event, fields.isEmpty() ? "" : "," + fields.replace('\'', '"')));
    }

    private void leaderReady(long timeMs, String node, int epoch) {
        line(timeMs, node, "leader-started", "'epoch':" + epoch);
        line(timeMs, node, "leader-ready", "'epoch':" + epoch);
    }

    private void submit(long timeMs, String job, String result) {
        line(timeMs, "n2", "submit", "'job':'%s','queue':'q','answer':'%s'".formatted(job, result));
    }

    private void start(long timeMs, String task, int run, long waitedMs, boolean resumed) {
        line(
                timeMs,
                "n1",
                "start",
                "'job':'a','task':'a.0.%s','run':%d,'runner':'r%d','waitedMs':%d,'resumed':%s,'outcome':'STARTED'"
                        .formatted(task, run, run, waitedMs, resumed));
    }

    private void end(long timeMs, String task, int run, String reason) {
        line(
                timeMs,
                "n1",
                "end",
                "'job':'a','task':'a.0.%s','run':%d,'runner':'r%d','reason':'%s'".formatted(task, run, run, reason));
    }

    private void throttle(long timeMs, String task, int speedPercent) {
        line(
                timeMs,
                "n1",
                "pace",
                "'job':'a','task':'a.0.%s','run':1,'runner':'r1','percent':%d".formatted(task, speedPercent));
    }

    private void completed(long timeMs) {
        line(timeMs, "n1", "job-end", "'job':'a','state':'COMPLETED'");
    }

    private Map<TimeCategory, Long> timeByCategory() {
        List<JobTimeBreakdown> jobs = analyzer.breakdowns();
        assertThat(jobs).hasSize(1);
        Map<TimeCategory, Long> times = new TreeMap<>();
        for (TimeCategory category : TimeCategory.values()) {
            if (jobs.get(0).times().ms(category) > 0) {
                times.put(category, jobs.get(0).times().ms(category));
            }
        }
        return times;
    }

    /**
     * Guards against counting the time of tasks that ended earlier instead of the task of the same step that ended
     * last.
     */
    @Test
    void followsTheTasksThatDeterminedTheEnd() {
        leaderReady(0, "n1", 1);
        submit(1_000, "a", "ACCEPTED");
        start(1_100, "0.0", 1, 100, false);
        start(1_350, "0.1", 1, 50, false);
        end(1_600, "0.0", 1, "DONE");
        end(2_000, "0.1", 1, "DONE");
        start(2_220, "1.0", 1, 20, false);
        end(3_000, "1.0", 1, "DONE");
        completed(3_000);
        assertThat(timeByCategory())
                .isEqualTo(Map.of(
                        TimeCategory.CAPACITY,
                        300L + 200L,
                        TimeCategory.START_RESPONSE,
                        50L + 20L,
                        TimeCategory.WORK,
                        650L + 780L));
    }

    /** Guards against counting a wait for a leader, for the store or for unreported runners as a wait for capacity. */
    @Test
    void distinguishesWaits() {
        leaderReady(0, "n1", 1);
        submit(500, "a", "UNAVAILABLE");
        submit(1_000, "a", "ACCEPTED");
        line(1_200, "n1", "store-lost", "");
        line(1_700, "n1", "store-regained", "");
        line(2_000, "n1", "state", "");
        line(3_500, "n3", "leader-started", "'epoch':2");
        line(3_600, "n3", "leader-ready", "'epoch':2");
        line(4_500, "n3", "leader-state", "'epoch':2,'heldTasks':4");
        start(5_000, "0.0", 1, 0, false);
        end(6_000, "0.0", 1, "DONE");
        completed(6_000);
        assertThat(timeByCategory())
                .isEqualTo(Map.of(
                        TimeCategory.SUBMISSION, 500L,
                        TimeCategory.STORE_UNAVAILABLE, 500L,
                        TimeCategory.NO_LEADER, 1_600L,
                        TimeCategory.UNREPORTED_RUNNERS, 900L,
                        TimeCategory.CAPACITY, 200L + 300L + 500L,
                        TimeCategory.WORK, 1_000L));
    }

    /** Guards against counting throttled or repeated work as work. */
    @Test
    void distinguishesSlowAndRepeatedWork() {
        leaderReady(0, "n1", 1);
        submit(1_000, "a", "ACCEPTED");
        start(1_000, "0.0", 1, 0, false);
        throttle(1_500, "0.0", 50);
        throttle(1_800, "0.0", 0);
        throttle(2_500, "0.0", 100);
        end(2_600, "0.0", 1, "STOPPED");
        start(2_600, "0.0", 2, 0, true);
        end(3_000, "0.0", 2, "FAILED");
        start(3_200, "0.0", 3, 0, false);
        line(3_700, "n1", "runner-lost", "'runner':'r3'");
        start(4_000, "0.0", 4, 0, false);
        end(5_000, "0.0", 4, "DONE");
        completed(5_000);
        assertThat(timeByCategory())
                .isEqualTo(Map.of(
                        TimeCategory.WORK, 500L + 100L + 1_000L,
                        TimeCategory.SLOWED, 300L,
                        TimeCategory.PAUSED, 700L,
                        TimeCategory.REPEATED, 400L + 500L,
                        TimeCategory.CAPACITY, 200L + 300L));
    }

    /** Guards against leaving out jobs that were never stored or have not ended. */
    @Test
    void countsJobsThatWereNotStoredOrHaveNotEnded() {
        leaderReady(0, "n1", 1);
        submit(1_000, "b", "UNAVAILABLE");
        submit(1_400, "b", "UNAVAILABLE");
        submit(1_000, "c", "ACCEPTED");
        line(3_000, "n1", "leader-state", "'epoch':1,'heldTasks':0");
        List<JobTimeBreakdown> jobs = analyzer.breakdowns();
        assertThat(jobs).extracting(JobTimeBreakdown::job).containsExactly("c", "b");
        assertThat(jobs).extracting(JobTimeBreakdown::accepted).containsExactly(true, false);
        assertThat(jobs.get(0).times().ms(TimeCategory.CAPACITY)).isEqualTo(2_000);
        assertThat(jobs.get(1).times().ms(TimeCategory.SUBMISSION)).isEqualTo(400);
    }

    /** Guards against a table whose rows and total disagree. */
    @Test
    void tableHasARowForEachQueueAllAndTheSlowestJobs() {
        leaderReady(0, "n1", 1);
        submit(1_000, "b", "ACCEPTED");
        submit(2_000, "c", "ACCEPTED");
        line(3_000, "n1", "leader-state", "'epoch':1,'heldTasks':0");
        List<String> lines = TimeBreakdownTable.lines(analyzer.breakdowns(), 1);
        assertThat(lines).hasSize(6);
        assertThat(lines.get(1)).startsWith("q ").contains("      2 ").contains("      3.0 ");
        assertThat(lines.get(2)).startsWith("all ").contains("      3.0 ");
        assertThat(lines.get(5)).startsWith("b ").contains("      2.0 ");
    }
}
