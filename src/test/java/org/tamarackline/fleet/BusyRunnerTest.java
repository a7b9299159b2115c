package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that ends are acknowledged to a runner that gets new starts all the time. */
class BusyRunnerTest {

    private static final Duration TASK_DURATION = Duration.ofMillis(20);
    private static final Duration START_INTERVAL = Duration.ofMillis(100);
    private static final int STARTS = 300;

    private final ManualLoop loop = new ManualLoop();
    private final SimulatedStore store = new SimulatedStore(loop, true);
    private final SimulatedStoreClient.Link link = new SimulatedStoreClient.Link(new Random(1), 500);
    private final SimulatedStoreClient client = new SimulatedStoreClient(loop, loop, store, link);
    private final ProtocolRunner runner = new ProtocolRunner(
            "r",
            "r:80",
            loop,
            new RecordingObserver(),
            ProtocolRunner.Properties.DEFAULT,
            ProtocolRunner.Kind.DEFAULT.withMaxRuns(64));
    private final Map<TaskKey, Long> unacknowledgedEndsNanos = new HashMap<>();
    private long longestWaitNanos;
    private int acknowledgedEnds;
    private int ends;

    private final class RecordingObserver implements ProtocolRunner.Observer {

        @Override
        public void started(ProtocolRunner on, TaskKey task, long runNumber, long epoch) {}

        @Override
        public void ended(ProtocolRunner on, RunnerStatus.EndedRun end) {
            ends++;
            unacknowledgedEndsNanos.put(end.task(), loop.nowNanos());
        }

        @Override
        public void acknowledged(ProtocolRunner on, RunnerStatus.EndedRun end, boolean leaseExpiredSinceEnd) {
            acknowledgedEnds++;
            longestWaitNanos = Math.max(longestWaitNanos, loop.nowNanos() - unacknowledgedEndsNanos.remove(end.task()));
        }
    }

    /** Connections that delay each request and each response by the same time. */
    private record DelayingConnections(ProtocolRunner runner, Duration latency)
            implements ProtocolRunnerCalls.Connections {

        @Override
        public ProtocolRunner runnerAt(String address) {
            return runner;
        }

        @Override
        public ProtocolRunnerCalls.Delivery next(RunnerDescriptor called) {
            return new ProtocolRunnerCalls.Delivery(ProtocolRunnerCalls.Fate.ANSWERED, latency, latency);
        }

        @Override
        public boolean responsesArrive(RunnerDescriptor called) {
            return true;
        }

        @Override
        public ProtocolRunner.RunPlan plan(ProtocolRunner on, TaskKey task, long runNumber) {
            return new ProtocolRunner.RunPlan(TASK_DURATION, EndReason.DONE);
        }

        @Override
        public void startSent(RunnerDescriptor called, RunnerCalls.StartCommand command) {}

        @Override
        public void statusReceived(RunnerDescriptor called, RunnerStatus status) {}
    }

    /** Guards against ends that stay on their runner although there is time between its starts. */
    @Test
    void endsAreAcknowledgedBetweenStarts() {
        startRunsAtIntervals(Duration.ofMillis(2));
        assertThat(longestWaitNanos).isLessThan(Duration.ofMillis(500).toNanos());
    }

    /** Guards against ends that stay on their runner for ever because a start is on its way at any time. */
    @Test
    void endsAreAcknowledgedIfStartsOverlap() {
        startRunsAtIntervals(Duration.ofMillis(70));
        assertThat(longestWaitNanos)
                .isLessThan(
                        FleetConstants.ACKNOWLEDGEMENT_OVERDUE.plusSeconds(2).toNanos());
    }

    /** Starts a run per interval for 30 s, and then waits until all ends are acknowledged. */
    private void startRunsAtIntervals(Duration latency) {
        startLeader(latency);
        for (int i = 0; i < STARTS; i++) {
            submit("job" + i);
            loop.advance(START_INTERVAL);
        }
        assertThat(ends).as("ends while runs are started").isGreaterThan(STARTS * 9 / 10);
        assertThat(acknowledgedEnds)
                .as("acknowledged ends while runs are started")
                .isGreaterThan(ends / 2);
        loop.advance(Duration.ofSeconds(2));
        assertThat(unacknowledgedEndsNanos).isEmpty();
        assertThat(ends).isEqualTo(STARTS);
    }

    private RunnerDescriptor descriptor() {
        return new RunnerDescriptor(
                runner.id(),
                1,
                "dispatch",
                runner.address(),
                "dc",
                "",
                false,
                new Resources(64_000, 64_000, 0),
                Set.of());
    }

    private void startLeader(Duration latency) {
        LeaderRecord record = new LeaderRecord(1, "node", "10.0.0.9:1", 1, false, List.of());
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        DecisionLog log = new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, loop, "node");
        RunnerCalls calls = new ProtocolRunnerCalls(loop, loop, new DelayingConnections(runner, latency));
        link.directory().put(runner.id(), descriptor());
        NodeServices services = new NodeServices(loop, client, calls, client, timeOfDay, log, FleetMetrics.NONE);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        new Leader(services, new StoreContact(loop), peers, record, version, reason -> {}).start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(1));
    }

    private void submit(String job) {
        write(
                RecordStore.Table.JOBS,
                job,
                RecordCodec.encodeOpenJob(JobDefinitions.tasks(job, 1, TASK_DURATION.toMillis())));
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        store.apply(new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))));
    }
}
