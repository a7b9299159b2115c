package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a leader whose runner restarts under the identifier that it had. */
class RunnerRestartTest {

    private static final Duration TASK_DURATION = Duration.ofMillis(300);

    private final List<TaskKey> starts = new ArrayList<>();
    private final List<TaskKey> acknowledgedEnds = new ArrayList<>();
    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final ProtocolRunnerCalls calls = new ProtocolRunnerCalls(loop, TASK_DURATION);
    private final ProtocolRunner runner = new ProtocolRunner("r", loop, new RecordingObserver());

    private final class RecordingObserver implements ProtocolRunner.Observer {

        @Override
        public void started(ProtocolRunner on, TaskKey task, long runNumber, long epoch) {
            starts.add(task);
        }

        @Override
        public void ended(ProtocolRunner on, RunnerStatus.EndedRun end) {}

        @Override
        public void acknowledged(ProtocolRunner on, RunnerStatus.EndedRun end, boolean leaseExpiredSinceEnd) {
            acknowledgedEnds.add(end.task());
        }
    }

    @Test
    void storedEndsOfAnEarlierProcessDiscardNoEndOfTheNewOne() {
        startLeaderAndRunTasks();
        submit("before");
        loop.advance(TASK_DURATION.minusMillis(20));
        store.delayNextResponse(Duration.ofMillis(400));
        loop.advance(Duration.ofMillis(150));
        runner.restart();
        loop.advance(Duration.ofSeconds(1));
        submit("after");
        calls.loseStatuses(1);
        loop.advance(Duration.ofSeconds(5));
        assertThat(startsOf("after")).isEqualTo(1);
    }

    @Test
    void pollThatReachesARestartedRunnerDiscardsNoEnd() {
        startLeaderAndRunTasks();
        loop.advance(Duration.ofSeconds(1));
        runner.restart();
        submit("after");
        calls.loseStatuses(1);
        loop.advance(Duration.ofSeconds(5));
        assertThat(startsOf("after")).isEqualTo(1);
    }

    /** Starts a leader and runs some tasks, so that ends with several numbers are acknowledged. */
    private void startLeaderAndRunTasks() {
        calls.add(runner);
        startLeader();
        for (int i = 0; i < 3; i++) {
            submit("first" + i);
        }
        loop.advance(Duration.ofSeconds(3));
        assertThat(acknowledgedEnds).hasSize(3);
    }

    private long startsOf(String job) {
        return starts.stream().filter(task -> task.job().equals(job)).count();
    }

    private void startLeader() {
        LeaderRecord record = new LeaderRecord(1, "node", "10.0.0.9:1", 1, false, List.of());
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        DecisionLog log = new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, loop, "node");
        NodeServices services = new NodeServices(
                loop,
                store,
                calls,
                done -> done.accept(Optional.of(List.of(runner.descriptor()))),
                timeOfDay,
                log,
                FleetMetrics.NONE);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        new Leader(services, new StoreContact(loop), peers, record, version, reason -> {}).start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(1));
    }

    private void submit(String job) {
        write(RecordStore.Table.JOBS, job, RecordCodec.encodeOpenJob(JobDefinitions.tasks(job, 1, 300)));
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
        loop.advance(Duration.ofMillis(10));
    }
}
