package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the metrics show what happens to a leader, its tasks, its runners and its store. */
class LeaderMetricsTest {

    private static final long LONG_TASK_MS = 600_000;
    private static final String OLDEST = "tamarackline_task_ready_age_max_seconds{priority=\"0\"}";
    private static final String START_DELAY = "tamarackline_task_start_delay_seconds";
    private static final String CONFIRMATION_AGE = "tamarackline_leader_confirmation_age_seconds";

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final FakeRunnerCalls runners = new FakeRunnerCalls(loop);
    private final ScriptedCalls calls = new ScriptedCalls();
    private final PeerCalls unreachablePeers = new FakePeerCalls(loop, new FakePeerCalls.Network());
    private final List<RunnerDescriptor> registered = new ArrayList<>();
    private final FleetNodeMetrics metrics = new FleetNodeMetrics(loop);

    /** Guards against metrics that do not tell a leader from another node, or one that cannot start tasks from one that can. */
    @Test
    void leadershipIsShownFromTakeoverToEnd() {
        assertThat(value("tamarackline_leader")).isZero();
        Leader leader = startLeader(3);
        assertThat(value("tamarackline_leader")).isOne();
        assertThat(value("tamarackline_leader_epoch")).isEqualTo(3);
        assertThat(value("tamarackline_leader_ready"))
                .as("before it has read the state")
                .isZero();
        loop.advance(Duration.ofSeconds(2));
        assertThat(value("tamarackline_leader_ready")).isOne();
        assertThat(value("tamarackline_leadership_events_total{event=\"ready\"}"))
                .isOne();
        leader.onResignationStored();
        loop.advance(Duration.ofSeconds(1));
        assertThat(value("tamarackline_leader")).isOne();
        assertThat(value("tamarackline_leader_ready"))
                .as("after its resignation")
                .isZero();
        leader.end();
        loop.advance(Duration.ofSeconds(3));
        assertThat(value("tamarackline_leader")).isZero();
        assertThat(value("tamarackline_leader_epoch")).isZero();
        assertThat(value(CONFIRMATION_AGE)).isZero();
    }

    /** Guards against a queue of tasks that is not visible, and against a wait that starts anew with each refusal. */
    @Test
    void waitingTasksAndTheOldestOfThemAreShown() {
        submit("j", 2);
        startLeader(1);
        loop.advance(Duration.ofSeconds(5));
        assertThat(value("tamarackline_jobs_open")).isOne();
        assertThat(value("tamarackline_tasks_ready")).isEqualTo(2);
        assertThat(value(OLDEST)).isBetween(4.0, 5.0);
        assertThat(value("tamarackline_task_ready_age_max_seconds{priority=\"1\"}"))
                .isZero();
        calls.nextResults.addAll(List.of(StartResult.NO_ROOM, StartResult.NO_ROOM));
        registered.add(descriptor("a"));
        loop.advance(Duration.ofSeconds(3));
        assertThat(value("tamarackline_starts_total{result=\"no_room\"}")).isEqualTo(2);
        loop.advance(Duration.ofSeconds(30));
        assertThat(value("tamarackline_starts_total{result=\"started\"}")).isEqualTo(2);
        assertThat(value("tamarackline_tasks_ready")).isZero();
        assertThat(value(OLDEST)).isZero();
        assertThat(value("tamarackline_runs{phase=\"running\"}")).isEqualTo(2);
        assertThat(value(START_DELAY + "_count")).isEqualTo(2);
        assertThat(value(START_DELAY + "_bucket{le=\"3.0\"}"))
                .as("waits that include those before the refusal")
                .isZero();
    }

    /** Guards against a delay that is counted for a run of an earlier leader, of which this one knows no wait. */
    @Test
    void adoptedRunsHaveNoStartDelay() {
        registered.add(descriptor("a"));
        submit("j", 1);
        Leader first = startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        first.end();
        startLeader(2);
        loop.advance(Duration.ofSeconds(5));
        assertThat(value("tamarackline_runs{phase=\"running\"}")).isOne();
        assertThat(value(START_DELAY + "_count")).isOne();
    }

    /** Guards against start results that are counted under another name, or not at all. */
    @Test
    void startsAreCountedByResult() {
        registered.add(descriptor("a"));
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        for (StartResult result :
                List.of(StartResult.REFUSED, StartResult.NO_ROOM, StartResult.UNKNOWN, StartResult.RUNNER_REPLACED)) {
            calls.nextResults.add(result);
            submit("job" + result, 1);
            loop.advance(Duration.ofSeconds(30));
            String label = result.name().toLowerCase(Locale.ROOT);
            assertThat(value("tamarackline_starts_total{result=\"" + label + "\"}"))
                    .as(label)
                    .isOne();
        }
        assertThat(value("tamarackline_runner_calls_total{kind=\"start\",outcome=\"unknown\"}"))
                .isOne();
        assertThat(value("tamarackline_runner_calls_total{kind=\"start\",outcome=\"refused\"}"))
                .isEqualTo(2);
        assertThat(value("tamarackline_runner_calls_total{kind=\"stop\",outcome=\"done\"}"))
                .isPositive();
    }

    /** Guards against a start that is given up because the runner's process changed, and that no series counts. */
    @Test
    void startThatWasNotSentIsCounted() {
        registered.add(descriptor("b"));
        submit("j", 1);
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        registered.add(descriptor("a"));
        loop.advance(Duration.ofSeconds(1));
        registered.removeIf(runner -> runner.id().equals("b"));
        loop.advance(Duration.ofSeconds(1));
        store.setRejecting(true);
        loop.advance(Duration.ofMillis(700));
        runners.restart("a");
        runners.removeRuns("b");
        loop.advance(Duration.ofMillis(1_200));
        assertThat(value("tamarackline_starts_total{result=\"not_sent\"}")).isPositive();
        assertThat(value("tamarackline_runner_calls_total{kind=\"verification\",outcome=\"done\"}"))
                .isPositive();
    }

    /** Guards against ends that are not told apart by their reason, and against lost runs that count as ended. */
    @Test
    void runsAreCountedByHowTheyEnded() {
        registered.add(descriptor("a"));
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        for (EndReason reason : List.of(EndReason.DONE, EndReason.FAILED, EndReason.LEASE_EXPIRED, EndReason.STOPPED)) {
            submit("job" + reason, 1);
            loop.advance(Duration.ofSeconds(1));
            calls.endLastStart(reason);
            loop.advance(Duration.ofSeconds(6));
            String label = reason.name().toLowerCase(Locale.ROOT);
            assertThat(value("tamarackline_runs_ended_total{reason=\"" + label + "\"}"))
                    .as(label)
                    .isOne();
        }
        assertThat(value("tamarackline_runs_ended_total{reason=\"lost\"}")).isZero();
        double running = value("tamarackline_runs{phase=\"running\"}");
        runners.removeRuns("a");
        loop.advance(Duration.ofSeconds(6));
        assertThat(running).isPositive();
        assertThat(value("tamarackline_runs_ended_total{reason=\"lost\"}")).isEqualTo(running);
    }

    /** Guards against a runner that stops answering without a trace in the metrics. */
    @Test
    void silentAndLostRunnersAreShown() {
        registered.add(descriptor("a"));
        submit("j", 1);
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        assertThat(value("tamarackline_runner_calls_total{kind=\"poll\",outcome=\"done\"}"))
                .isPositive();
        assertThat(value("tamarackline_runners_silent")).isZero();
        runners.stopResponding("a");
        loop.advance(Duration.ofSeconds(4));
        assertThat(value("tamarackline_runners_silent")).isOne();
        assertThat(value("tamarackline_runner_events_total{event=\"silent\"}")).isOne();
        assertThat(value("tamarackline_runner_calls_total{kind=\"poll\",outcome=\"unknown\"}"))
                .isGreaterThan(1);
        assertThat(value("tamarackline_runner_events_total{event=\"lost\"}")).isZero();
        loop.advance(Duration.ofSeconds(10));
        assertThat(value("tamarackline_runner_events_total{event=\"lost\"}")).isOne();
        assertThat(value("tamarackline_runs_ended_total{reason=\"lost\"}")).isOne();
        runners.resumeResponding("a");
        loop.advance(Duration.ofSeconds(3));
        assertThat(value("tamarackline_runner_events_total{event=\"back\"}")).isOne();
        assertThat(value("tamarackline_runners_silent")).isZero();
        registered.clear();
        loop.advance(Duration.ofSeconds(2));
        assertThat(value("tamarackline_runner_events_total{event=\"deregistered\"}"))
                .isOne();
    }

    /** Guards against a restart of a runner that only the log shows. */
    @Test
    void restartedRunnersAreCounted() {
        registered.add(descriptor("a"));
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        runners.restart("a");
        loop.advance(Duration.ofSeconds(6));
        assertThat(value("tamarackline_runner_events_total{event=\"restarted\"}"))
                .isOne();
    }

    /** Guards against a wait for runners of earlier leaders that looks like a lack of capacity. */
    @Test
    void tasksHeldForUnreportedRunnersAreShown() {
        write(RecordStore.Table.ROSTER, "b", RecordCodec.encodeRoster(RosterRecord.uncordoned(descriptor("b"))));
        registered.add(descriptor("b"));
        submit("j", 2);
        runners.stopResponding("b");
        startLeader(2);
        loop.advance(Duration.ofSeconds(3));
        assertThat(value("tamarackline_tasks_held")).isEqualTo(2);
        assertThat(value("tamarackline_runners_unreported")).isOne();
        assertThat(value("tamarackline_runners_known")).isOne();
    }

    /** Guards against store outages that do not show in the counts of calls or in the age of the confirmation. */
    @Test
    void callsOfTheStoreAreCountedByOutcome() {
        registered.add(descriptor("a"));
        startLeader(1);
        loop.advance(Duration.ofSeconds(3));
        assertThat(value(transactions("applied"))).isPositive();
        assertThat(value("tamarackline_store_transaction_duration_seconds_bucket{le=\"0.02\"}"))
                .as("the store takes 20 ms for a transaction")
                .isEqualTo(value(transactions("applied")) + value(leaseLimitTransactions("applied")));
        assertThat(value(reads("table", "read"))).isPositive();
        assertThat(value(reads("directory", "read"))).isPositive();
        assertThat(value(reads("job_changes", "read"))).isPositive();
        assertThat(value(CONFIRMATION_AGE)).isBetween(0.0, 2.2);
        store.setRejecting(true);
        submitPastRejection("j");
        loop.advance(Duration.ofSeconds(5));
        assertThat(value(reads("job_changes", "failed"))).isPositive();
        assertThat(value(CONFIRMATION_AGE)).isBetween(5.0, 7.2);
        assertThat(value("tamarackline_leader_ready")).isOne();
        loop.advance(Duration.ofSeconds(5));
        assertThat(value("tamarackline_leader_ready"))
                .as("after its lease has expired")
                .isZero();
        assertThat(value("tamarackline_leader")).isOne();
        runners.stopResponding("a");
        store.setRejecting(false);
        store.loseHistoryOnce();
        loop.advance(Duration.ofSeconds(3));
        assertThat(value(reads("job_changes", "history_lost"))).isOne();
        assertThat(value(CONFIRMATION_AGE)).isBetween(0.0, 2.2);
    }

    /** Guards against transactions that are refused or not answered and count as applied. */
    @Test
    void transactionsAreCountedByOutcome() {
        registered.add(descriptor("a"));
        submit("j", 1);
        startLeader(1);
        loop.advance(Duration.ofSeconds(3));
        store.setRejecting(true);
        calls.endLastStart(EndReason.DONE);
        loop.advance(Duration.ofSeconds(2));
        assertThat(value(transactions("not_applied"))).isPositive();
        store.setRejecting(false);
        store.loseResponses(1);
        loop.advance(Duration.ofSeconds(4));
        assertThat(value(transactions("unknown"))).isOne();
        assertThat(value(transactions("conflict")))
                .as("after the lost response")
                .isOne();
        assertThat(value("tamarackline_store_transaction_duration_seconds_bucket{le=\"0.48\"}"))
                .as("all but the one without a response")
                .isEqualTo(value("tamarackline_store_transaction_duration_seconds_count") - 1);
    }

    /** Guards against identifiers of jobs or runners in the labels, whose number is not bounded. */
    @Test
    void namesOfJobsAndRunnersAreNotInTheText() {
        registered.add(descriptor("runner-identifier"));
        submit("job-identifier", 3);
        startLeader(1);
        loop.advance(Duration.ofSeconds(3));
        calls.endLastStart(EndReason.FAILED);
        runners.stopResponding("runner-identifier");
        loop.advance(Duration.ofSeconds(15));
        assertThat(value(START_DELAY + "_count")).isPositive();
        assertThat(metrics.text()).doesNotContain("identifier", "10.0.0");
    }

    private static String transactions(String outcome) {
        return "tamarackline_store_transactions_total{outcome=\"" + outcome + "\",purpose=\"commit\"}";
    }

    private static String leaseLimitTransactions(String outcome) {
        return "tamarackline_store_transactions_total{outcome=\"" + outcome + "\",purpose=\"lease_limit\"}";
    }

    private static String reads(String purpose, String outcome) {
        return "tamarackline_store_reads_total{outcome=\"" + outcome + "\",purpose=\"" + purpose + "\"}";
    }

    private double value(String series) {
        return new PrometheusText(metrics.text()).value(series);
    }

    private Leader startLeader(long epoch) {
        LeaderRecord record = new LeaderRecord(epoch, "node" + epoch, "10.0.0.9:1", 1, false, List.of());
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        DecisionLog log =
                new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, loop, "node" + epoch);
        NodeServices services = new NodeServices(
                loop, store, calls, done -> done.accept(Optional.of(List.copyOf(registered))), timeOfDay, log, metrics);
        Leader leader = new Leader(services, new StoreContact(loop), unreachablePeers, record, version, reason -> {});
        leader.start(loop.nowNanos());
        return leader;
    }

    private void submit(String job, int tasks) {
        JobDefinition definition = JobDefinitions.tasks(job, tasks, LONG_TASK_MS);
        write(RecordStore.Table.JOBS, job, RecordCodec.encodeOpenJob(definition));
    }

    /** Adds a job although the store rejects transactions. */
    private void submitPastRejection(String job) {
        store.setRejecting(false);
        submit(job, 1);
        store.setRejecting(true);
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
        loop.advance(Duration.ofMillis(10));
    }

    private static RunnerDescriptor descriptor(String id) {
        Resources capacity = new Resources(16_000, 64_000, 0);
        return new RunnerDescriptor(id, 1, "dispatch", "10.0.0.1:80", "dc", "", false, capacity, Set.of());
    }

    /** Calls to the fake runners, with results of starts and ends of runs that the test chooses. */
    private final class ScriptedCalls implements RunnerCalls {

        private final Deque<StartResult> nextResults = new ArrayDeque<>();
        private final List<RunnerStatus.EndedRun> ends = new ArrayList<>();
        private StartCommand lastStart;

        void endLastStart(EndReason reason) {
            ends.add(new RunnerStatus.EndedRun(ends.size() + 1, lastStart.task(), lastStart.runNumber(), reason, ""));
        }

        @Override
        public void start(
                RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
            lastStart = command;
            if (nextResults.isEmpty()) {
                runners.start(runner, command, leaseUntilMs, callback);
                return;
            }
            StartResult result = nextResults.removeFirst();
            RunnerCommandOutcome outcome = switch (result) {
                case UNKNOWN -> RunnerCommandOutcome.UNKNOWN;
                case RUNNER_REPLACED -> RunnerCommandOutcome.RUNNER_REPLACED;
                default -> RunnerCommandOutcome.REFUSED;
            };
            loop.execute(() -> callback.accept(new StartResponse(result, outcome, "")));
        }

        @Override
        public void startOnNewConnection(
                RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
            start(runner, command, leaseUntilMs, callback);
        }

        @Override
        public void stop(
                RunnerDescriptor runner,
                TaskKey task,
                long runNumber,
                long epoch,
                Consumer<RunnerCommandOutcome> callback) {
            runners.stop(runner, task, runNumber, epoch, callback);
        }

        @Override
        public void stopOnNewConnection(
                RunnerDescriptor runner,
                TaskKey task,
                long runNumber,
                long epoch,
                Consumer<RunnerCommandOutcome> callback) {
            runners.stopOnNewConnection(runner, task, runNumber, epoch, callback);
        }

        @Override
        public void throttle(
                RunnerDescriptor runner,
                TaskKey task,
                long runNumber,
                int speedPercent,
                long epoch,
                Consumer<RunnerCommandOutcome> callback) {
            runners.throttle(runner, task, runNumber, speedPercent, epoch, callback);
        }

        @Override
        public void poll(
                RunnerDescriptor runner,
                long epoch,
                long lastAcknowledgedEnd,
                long leaseUntilMs,
                int waitMs,
                Consumer<PollResponse> callback) {
            runners.poll(
                    runner,
                    epoch,
                    lastAcknowledgedEnd,
                    leaseUntilMs,
                    waitMs,
                    response -> callback.accept(withEnds(response)));
        }

        @Override
        public void pollOnNewConnection(
                RunnerDescriptor runner,
                long epoch,
                long lastAcknowledgedEnd,
                long leaseUntilMs,
                int waitMs,
                Consumer<PollResponse> callback) {
            poll(runner, epoch, lastAcknowledgedEnd, leaseUntilMs, waitMs, callback);
        }

        private PollResponse withEnds(PollResponse response) {
            RunnerStatus status = response.status();
            if (status == null || ends.isEmpty()) {
                return response;
            }
            List<RunnerStatus.ActiveRun> active = status.activeRuns().stream()
                    .filter(run -> ends.stream()
                            .noneMatch(end -> end.task().equals(run.task()) && end.runNumber() == run.runNumber()))
                    .toList();
            RunnerStatus withEnds =
                    new RunnerStatus(status.processStartEpochMs(), status.clockMs(), active, List.copyOf(ends));
            return new PollResponse(response.outcome(), withEnds, response.reason());
        }
    }
}
