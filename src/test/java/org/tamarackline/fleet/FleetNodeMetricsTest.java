package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.FleetLoad;
import org.tamarackline.core.fleet.StartBlock;
import org.tamarackline.core.fleet.StartResult;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the names, labels and values of the metrics of a node. */
class FleetNodeMetricsTest {

    private static final Set<String> LABEL_NAMES =
            Set.of("answer", "reason", "event", "result", "kind", "outcome", "purpose", "priority", "phase", "le");

    private final ManualLoop loop = new ManualLoop();
    private final FleetNodeMetrics metrics = new FleetNodeMetrics(loop);

    /** Guards against an event that increments no series or another one. */
    @Test
    void eachEventIncrementsItsSeries() {
        recordAllEvents();
        PrometheusText text = scrape();
        assertCounts(text, FleetNode.SubmitResult.values(), "tamarackline_submissions_total{answer=\"%S\"}");
        assertCounts(
                text, FleetMetrics.RefusalReason.values(), "tamarackline_submissions_refused_total{reason=\"%s\"}");
        assertCounts(text, FleetMetrics.LeadershipEvent.values(), "tamarackline_leadership_events_total{event=\"%s\"}");
        assertCounts(text, StartResult.values(), "tamarackline_starts_total{result=\"%s\"}");
        assertCounts(text, EndReason.values(), "tamarackline_runs_ended_total{reason=\"%s\"}");
        assertCounts(text, FleetMetrics.RunnerEvent.values(), "tamarackline_runner_events_total{event=\"%s\"}");
        assertThat(text.value("tamarackline_runs_ended_total{reason=\"lost\"}")).isOne();
        for (FleetMetrics.RunnerCallKind kind : FleetMetrics.RunnerCallKind.values()) {
            String series = "tamarackline_runner_calls_total{kind=\"" + labelOf(kind) + "\",outcome=\"%s\"}";
            assertCounts(text, RunnerCalls.RunnerCommandOutcome.values(), series);
        }
        for (FleetMetrics.TransactionPurpose purpose : FleetMetrics.TransactionPurpose.values()) {
            String series =
                    "tamarackline_store_transactions_total{outcome=\"%s\",purpose=\"" + labelOf(purpose) + "\"}";
            assertCounts(text, FleetMetrics.TransactionOutcome.values(), series);
        }
        for (FleetMetrics.ReadPurpose purpose : FleetMetrics.ReadPurpose.values()) {
            String series = "tamarackline_store_reads_total{outcome=\"%s\",purpose=\"" + labelOf(purpose) + "\"}";
            assertCounts(text, FleetMetrics.ReadOutcome.values(), series);
        }
        assertThat(text.value("tamarackline_request_duration_seconds_count")).isOne();
        assertThat(text.value("tamarackline_task_start_delay_seconds_sum")).isEqualTo(2);
        assertThat(text.value("tamarackline_cancelled_run_duration_seconds_sum"))
                .isEqualTo(4);
        assertThat(text.value("tamarackline_event_loop_delay_seconds_sum")).isEqualTo(0.003);
        assertThat(text.value("tamarackline_store_transaction_duration_seconds_count"))
                .isEqualTo(FleetMetrics.TransactionPurpose.values().length
                        * FleetMetrics.TransactionOutcome.values().length);
        assertThat(text.value("tamarackline_store_changes_isolated_total")).isOne();
    }

    /** Guards against series that appear with their first event, so that their rate misses it, and unbounded labels. */
    @Test
    void eventsAddNoSeries() {
        Set<String> before = Set.copyOf(scrape().series());
        recordAllEvents();
        FleetLoad load = new FleetLoad(1, 1, 0, waits(1L, 1L), 0, 0, 0, 0, 0, Map.of(StartBlock.SILENT, 1));
        metrics.leaderSampled(new LeaderSample(1, 1, true, load, 0, 0, 0, 0, 0));
        PrometheusText after = scrape();
        assertThat(after.series()).containsExactlyInAnyOrderElementsOf(before);
        assertThat(after.labelNames()).isSubsetOf(LABEL_NAMES);
    }

    /** Guards against names that break the conventions: counters end in _total, times and sizes in their base unit. */
    @Test
    void namesFollowTheConventions() {
        scrape().types().forEach((name, type) -> {
            assertThat(name).startsWith("tamarackline_").doesNotContain("_ms", "millis", "_nanos");
            assertThat(name.endsWith("_total")).as(name).isEqualTo(type.equals("counter"));
            if (type.equals("histogram") || name.contains("_age") || name.contains("_delay")) {
                assertThat(name).containsPattern("_seconds(_max)?$");
            }
        });
    }

    /** Guards against the waits of all priorities under one label, and against a wait that is not in seconds. */
    @Test
    void gaugesShowTheLastSample() {
        List<Long> waits = waits(1_500_000_000L, 250_000_000L);
        FleetLoad load = new FleetLoad(11, 12, 13, waits, 14, 15, 16, 17, 18, Map.of(StartBlock.SILENT, 21));
        loop.advance(Duration.ofSeconds(5));
        metrics.leaderSampled(new LeaderSample(loop.nowNanos(), 7, true, load, 19, 20, 500_000_000, 2_250, 750));
        loop.advance(Duration.ofSeconds(2));
        PrometheusText text = scrape();
        assertThat(text.value("tamarackline_leader")).isOne();
        assertThat(text.value("tamarackline_leader_ready")).isOne();
        assertThat(text.value("tamarackline_leader_epoch")).isEqualTo(7);
        assertThat(text.value("tamarackline_leader_sample_age_seconds")).isEqualTo(2);
        assertThat(text.value("tamarackline_leader_confirmation_age_seconds")).isEqualTo(2.5);
        assertThat(text.value("tamarackline_leader_lease_limit_remaining_seconds"))
                .isEqualTo(2.25);
        assertThat(text.value("tamarackline_leader_writes_unanswered_seconds")).isEqualTo(0.75);
        assertThat(text.value("tamarackline_jobs_open")).isEqualTo(11);
        assertThat(text.value("tamarackline_tasks_ready")).isEqualTo(12);
        assertThat(text.value("tamarackline_tasks_held")).isEqualTo(13);
        assertThat(text.value("tamarackline_task_ready_age_max_seconds{priority=\"0\"}"))
                .isEqualTo(1.5);
        assertThat(text.value("tamarackline_task_ready_age_max_seconds{priority=\"1\"}"))
                .isZero();
        assertThat(text.value("tamarackline_task_ready_age_max_seconds{priority=\"3\"}"))
                .isEqualTo(0.25);
        assertThat(text.value("tamarackline_runs{phase=\"starting\"}")).isEqualTo(14);
        assertThat(text.value("tamarackline_runs{phase=\"running\"}")).isEqualTo(15);
        assertThat(text.value("tamarackline_runs{phase=\"stopping\"}")).isEqualTo(16);
        assertThat(text.value("tamarackline_runners_known")).isEqualTo(17);
        assertThat(text.value("tamarackline_runners_unreported")).isEqualTo(18);
        assertThat(text.value("tamarackline_runners_silent")).isEqualTo(19);
        assertThat(text.value("tamarackline_runners_blocked{reason=\"silent\"}"))
                .isEqualTo(21);
        assertThat(text.value("tamarackline_runners_blocked{reason=\"cordoned\"}"))
                .isZero();
        assertThat(text.value("tamarackline_starts_unanswered")).isEqualTo(20);
    }

    /** Guards against a scrape that mixes the values of two samples, because another thread replaces them meanwhile. */
    @Test
    void scrapeReadsOneSampleWhileTheEventLoopReplacesIt() throws InterruptedException {
        metrics.leaderSampled(sampleOf(1));
        AtomicBoolean stopped = new AtomicBoolean();
        Thread eventLoop = Thread.ofPlatform().start(() -> {
            for (int value = 2; !stopped.get(); value++) {
                metrics.leaderSampled(sampleOf(value));
            }
        });
        try {
            Set<Double> seen = new HashSet<>();
            for (int i = 0; i < 200; i++) {
                PrometheusText text = scrape();
                double epoch = text.value("tamarackline_leader_epoch");
                seen.add(epoch);
                assertThat(text.value("tamarackline_jobs_open")).isEqualTo(epoch);
                assertThat(text.value("tamarackline_tasks_ready")).isEqualTo(epoch);
                assertThat(text.value("tamarackline_runs{phase=\"running\"}")).isEqualTo(epoch);
                assertThat(text.value("tamarackline_runners_silent")).isEqualTo(epoch);
                assertThat(text.value("tamarackline_starts_unanswered")).isEqualTo(epoch);
            }
            assertThat(seen).as("different samples").hasSizeGreaterThan(1);
        } finally {
            stopped.set(true);
            eventLoop.join();
        }
    }

    /** Guards against a probe that measures nothing, or the interval instead of the delay. */
    @Test
    void delayedStepOfTheEventLoopIsMeasured() {
        SuspendableLoop nodeLoop = new SuspendableLoop(loop);
        new LoopDelayProbe(nodeLoop, metrics, dueNanos -> {}).start();
        loop.advance(LoopDelayProbe.INTERVAL.multipliedBy(4));
        assertThat(scrape().value("tamarackline_event_loop_delay_seconds_count"))
                .isEqualTo(4);
        assertThat(scrape().value("tamarackline_event_loop_delay_seconds_sum")).isZero();
        nodeLoop.suspend();
        loop.advance(LoopDelayProbe.INTERVAL.plusMillis(700));
        nodeLoop.resume();
        loop.advance(Duration.ofMillis(1));
        assertThat(scrape().value("tamarackline_event_loop_delay_seconds_sum")).isEqualTo(0.7);
        assertThat(scrape().value("tamarackline_event_loop_delay_seconds_bucket{le=\"0.4\"}"))
                .isEqualTo(4);
        assertThat(scrape().value("tamarackline_event_loop_delay_seconds_bucket{le=\"1.0\"}"))
                .isEqualTo(5);
    }

    /** Returns waits of which only those of priorities 0 and 3 are not zero. */
    private static List<Long> waits(long priority0Nanos, long priority3Nanos) {
        return List.of(priority0Nanos, 0L, 0L, priority3Nanos, 0L, 0L, 0L, 0L, 0L, 0L);
    }

    private static LeaderSample sampleOf(int value) {
        FleetLoad load = new FleetLoad(
                value, value, value, waits(0, 0), value, value, value, value, value, Map.of(StartBlock.SILENT, value));
        return new LeaderSample(1, value, true, load, value, value, 0, value, value);
    }

    private void recordAllEvents() {
        metrics.changeIsolated();
        for (FleetNode.SubmitResult result : FleetNode.SubmitResult.values()) {
            metrics.submitted(result);
        }
        for (FleetMetrics.RefusalReason reason : FleetMetrics.RefusalReason.values()) {
            metrics.submissionRefused(reason);
        }
        for (FleetMetrics.LeadershipEvent event : FleetMetrics.LeadershipEvent.values()) {
            metrics.leadershipChanged(event);
        }
        for (StartResult result : StartResult.values()) {
            metrics.startCompleted(result);
        }
        for (EndReason reason : EndReason.values()) {
            metrics.runEnded(reason);
        }
        for (FleetMetrics.RunnerEvent event : FleetMetrics.RunnerEvent.values()) {
            metrics.runnerChanged(event);
        }
        for (FleetMetrics.RunnerCallKind kind : FleetMetrics.RunnerCallKind.values()) {
            for (RunnerCalls.RunnerCommandOutcome outcome : RunnerCalls.RunnerCommandOutcome.values()) {
                metrics.runnerCallCompleted(kind, outcome);
            }
        }
        for (FleetMetrics.TransactionPurpose purpose : FleetMetrics.TransactionPurpose.values()) {
            for (FleetMetrics.TransactionOutcome outcome : FleetMetrics.TransactionOutcome.values()) {
                metrics.transactionCompleted(purpose, outcome, 8_000_000);
            }
        }
        for (FleetMetrics.ReadPurpose purpose : FleetMetrics.ReadPurpose.values()) {
            for (FleetMetrics.ReadOutcome outcome : FleetMetrics.ReadOutcome.values()) {
                metrics.readCompleted(purpose, outcome);
            }
        }
        metrics.runLost();
        metrics.cancelledRunEnded(4_000_000_000L);
        metrics.taskStarted(2_000_000_000);
        metrics.loopDelayed(3_000_000);
        metrics.requestCompleted(Duration.ofMillis(4));
    }

    private PrometheusText scrape() {
        return new PrometheusText(metrics.text());
    }

    private static void assertCounts(PrometheusText text, Enum<?>[] values, String seriesFormat) {
        for (Enum<?> value : values) {
            String series = seriesFormat.formatted(labelOf(value));
            assertThat(text.value(series)).as(series).isOne();
        }
    }

    private static String labelOf(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
