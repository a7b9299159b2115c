package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests when ends are acknowledged while more jobs are dirty than fit into a transaction. */
class CommitBacklogTest {

    private static final Duration LONG_TASK = Duration.ofMinutes(10);
    private static final Duration SHORT_TASK = Duration.ofMillis(300);
    private static final Duration QUICK_TASK = Duration.ofMillis(20);

    /** Latency from a transaction to its effect, and from there to its response. */
    private static final Duration TRANSACTION_LATENCY = Duration.ofMillis(100);

    /** Storing the cancellation of each takes two records, so that storing all takes 13 transactions. */
    private static final int JOBS = 400;

    private static final int RUNNERS = 5;

    /** Runs end some time after the stop, so that the cancellation of their job may be stored before. */
    private static final ProtocolRunner.Properties PROPERTIES =
            new ProtocolRunner.Properties(1, 500, Duration.ofMillis(200), true, true);

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final Map<String, ProtocolRunner> runners = new TreeMap<>();
    private final ProtocolRunnerCalls calls = new ProtocolRunnerCalls(loop, loop, new PlannedConnections());
    private final Set<TaskKey> ends = new HashSet<>();
    private final Set<TaskKey> acknowledgedEnds = new HashSet<>();
    private final List<TaskKey> acknowledgedBeforeStored = new ArrayList<>();
    private int longJobs;

    private final class RecordingObserver implements ProtocolRunner.Observer {

        @Override
        public void started(ProtocolRunner on, TaskKey task, long runNumber, long epoch) {}

        @Override
        public void ended(ProtocolRunner on, RunnerStatus.EndedRun end) {
            ends.add(end.task());
        }

        @Override
        public void acknowledged(ProtocolRunner on, RunnerStatus.EndedRun end, boolean leaseExpiredSinceEnd) {
            acknowledgedEnds.add(end.task());
            if (!storedAsFinished(end.task().job())) {
                acknowledgedBeforeStored.add(end.task());
            }
        }
    }

    /** Fault-free connections to the runners. */
    private final class PlannedConnections implements ProtocolRunnerCalls.Connections {

        private static final Duration LATENCY = Duration.ofMillis(2);

        @Override
        public ProtocolRunner runnerAt(String address) {
            return runners.get(address);
        }

        @Override
        public ProtocolRunnerCalls.Delivery next(RunnerDescriptor called) {
            return new ProtocolRunnerCalls.Delivery(ProtocolRunnerCalls.Fate.ANSWERED, LATENCY, LATENCY);
        }

        @Override
        public boolean responsesArrive(RunnerDescriptor called) {
            return true;
        }

        @Override
        public ProtocolRunner.RunPlan plan(ProtocolRunner on, TaskKey task, long runNumber) {
            return new ProtocolRunner.RunPlan(durationOf(task.job()), EndReason.DONE);
        }

        @Override
        public void startSent(RunnerDescriptor called, RunnerCalls.StartCommand command) {}

        @Override
        public void statusReceived(RunnerDescriptor called, RunnerStatus status) {}
    }

    /** Guards against ends that stay on their runner until all of many dirty jobs are stored. */
    @Test
    void endIsAcknowledgedWhileManyCancelledJobsAreStored() {
        startLeader();
        submitLongJobs();
        submit("short");
        loop.advance(Duration.ofMillis(200));
        store.setTransactionLatency(TRANSACTION_LATENCY);
        cancelLongJobs();
        loop.advance(Duration.ofMillis(1_500));
        assertThat(acknowledgedEnds).contains(new TaskKey("short", 0, 0, 0));
        assertThat(acknowledgedBeforeStored).isEmpty();
        assertThat(unstoredLongJobs())
                .as("cancelled jobs that are still to be stored")
                .isPositive();
    }

    /** Guards against an end that waits for the transaction of another job, because its own job is stored already. */
    @Test
    void endOfAJobThatIsStoredIsAcknowledgedWithoutFurtherChanges() {
        startLeader();
        submit(longJob(longJobs++));
        loop.advance(Duration.ofSeconds(4));
        write(RecordStore.Table.JOBS, StoredJob.cancelKey(longJob(0)), new byte[0]);
        loop.advance(Duration.ofSeconds(4));
        assertThat(ends).hasSize(1);
        assertThat(acknowledgedEnds).hasSize(1);
        assertThat(acknowledgedBeforeStored).isEmpty();
    }

    /** Guards against the acknowledgement of ends whose jobs did not fit into the transaction. */
    @Test
    void endsOfMoreJobsThanFitIntoATransactionAreAcknowledgedOnceStored() {
        startLeader();
        store.setTransactionLatency(Duration.ofSeconds(1));
        for (int i = 0; i < JOBS; i++) {
            submit("quick" + i);
        }
        loop.advance(Duration.ofSeconds(60));
        assertThat(acknowledgedBeforeStored).isEmpty();
        assertThat(acknowledgedEnds).hasSize(JOBS);
    }

    /** Guards against the acknowledgement of an end whose result the store lacks, whatever happens to transactions. */
    @Test
    void noEndIsAcknowledgedBeforeItsResultIsStored() {
        startLeader();
        store.setTransactionLatency(TRANSACTION_LATENCY);
        for (int round = 0; round < 8; round++) {
            submitLongJobs();
            for (int i = 0; i < 5; i++) {
                submit("short" + round + "-" + i);
            }
            loop.advance(Duration.ofMillis(400));
            cancelLongJobs();
            loop.advance(Duration.ofMillis(150L * round));
            store.loseResponses(round % 3);
            loop.advance(Duration.ofMillis(600));
            store.setRejecting(round % 2 == 0);
            loop.advance(Duration.ofMillis(700));
            store.setRejecting(false);
        }
        loop.advance(Duration.ofSeconds(30));
        assertThat(acknowledgedBeforeStored).isEmpty();
        assertThat(ends).hasSizeGreaterThan(40);
        assertThat(acknowledgedEnds).containsAll(ends);
    }

    private static Duration durationOf(String job) {
        if (job.startsWith("quick")) {
            return QUICK_TASK;
        }
        return job.startsWith("short") ? SHORT_TASK : LONG_TASK;
    }

    private static String longJob(int number) {
        return "long%04d".formatted(number);
    }

    /** Submits jobs of which all but a few wait for space on the runner. */
    private void submitLongJobs() {
        for (int i = 0; i < JOBS; i++) {
            submit(longJob(longJobs++));
        }
        loop.advance(Duration.ofMillis(500));
    }

    private void cancelLongJobs() {
        for (int i = longJobs - JOBS; i < longJobs; i++) {
            write(RecordStore.Table.JOBS, StoredJob.cancelKey(longJob(i)), new byte[0]);
        }
    }

    private int unstoredLongJobs() {
        int count = 0;
        for (int i = 0; i < longJobs; i++) {
            count += storedAsFinished(longJob(i)) ? 0 : 1;
        }
        return count;
    }

    private boolean storedAsFinished(String job) {
        RecordStore.Entry entry = store.table(RecordStore.Table.JOBS).get(job);
        try {
            return RecordCodec.decodeJob(job, entry.value()) instanceof StoredJob.Finished;
        } catch (CorruptRecordException corrupt) {
            throw new AssertionError(corrupt);
        }
    }

    private void listRunners(Consumer<Optional<List<RunnerDescriptor>>> callback) {
        callback.accept(Optional.of(
                runners.values().stream().map(ProtocolRunner::descriptor).toList()));
    }

    private void startLeader() {
        for (int i = 0; i < RUNNERS; i++) {
            ProtocolRunner runner =
                    new ProtocolRunner("r" + i, "r" + i + ":80", loop, new RecordingObserver(), PROPERTIES);
            runners.put(runner.address(), runner);
        }
        LeaderRecord record = new LeaderRecord(1, "node", "10.0.0.9:1", 1, false, List.of());
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        loop.advance(Duration.ofMillis(50));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        DecisionLog log = new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, loop, "node");
        NodeServices services =
                new NodeServices(loop, store, calls, this::listRunners, timeOfDay, log, FleetMetrics.NONE);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        new Leader(services, new StoreContact(loop), peers, record, version, reason -> {}).start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(1));
    }

    private void submit(String job) {
        long estimateMs = durationOf(job).toMillis();
        write(RecordStore.Table.JOBS, job, RecordCodec.encodeOpenJob(JobDefinitions.tasks(job, 1, estimateMs)));
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
    }
}
