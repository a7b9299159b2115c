package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests starts that reach a restarted runner before the leader knows of the restart. The end of their lease is on the
 * clock of the earlier process, far ahead of the new one, so that the runner's maximum lease applies.
 */
class RestartedRunnerLeaseTest {

    private static final Duration RUN_DURATION = Duration.ofSeconds(30);

    private final ManualLoop loop = new ManualLoop();
    private final RunHistory history = new RunHistory(loop, true);
    private final SimulatedStore store = new SimulatedStore(loop, true);
    private final SimulatedStoreClient.Link link = new SimulatedStoreClient.Link(new Random(1), 500);
    private final SimulatedStoreClient client = new SimulatedStoreClient(loop, loop, store, link);
    private final Map<String, ProtocolRunner> runners = new TreeMap<>();
    private final TestConnections connections = new TestConnections();
    private final ProtocolRunner restarting = addRunner("restarting");

    private final class TestConnections implements ProtocolRunnerCalls.Connections {

        private Duration requestLatency = Duration.ofMillis(2);
        private ProtocolRunnerCalls.Fate fate = ProtocolRunnerCalls.Fate.ANSWERED;
        private boolean restartingCut;
        private int startsToRestarting;

        @Override
        public ProtocolRunner runnerAt(String address) {
            return runners.get(address);
        }

        @Override
        public ProtocolRunnerCalls.Delivery next(RunnerDescriptor runner) {
            Duration latency = Duration.ofMillis(2);
            return responsesArrive(runner)
                    ? new ProtocolRunnerCalls.Delivery(fate, requestLatency, latency)
                    : new ProtocolRunnerCalls.Delivery(ProtocolRunnerCalls.Fate.CALL_LOST, latency, latency);
        }

        @Override
        public boolean responsesArrive(RunnerDescriptor runner) {
            return !restartingCut || !runner.id().equals(restarting.id());
        }

        @Override
        public ProtocolRunner.RunPlan plan(ProtocolRunner runner, TaskKey task, long runNumber) {
            return new ProtocolRunner.RunPlan(RUN_DURATION, EndReason.DONE);
        }

        @Override
        public void startSent(RunnerDescriptor runner, RunnerCalls.StartCommand command) {
            history.startSent("node", command.task(), command.runNumber(), command.epoch(), runner.id());
            startsToRestarting += runner.id().equals(restarting.id()) ? 1 : 0;
        }

        @Override
        public void statusReceived(RunnerDescriptor runner, RunnerStatus status) {}
    }

    private ProtocolRunner addRunner(String id) {
        ProtocolRunner runner = new ProtocolRunner(id, loop, history);
        runners.put(runner.address(), runner);
        link.directory().put(id, runner.descriptor());
        history.processStarted(runner);
        return runner;
    }

    /** Guards against a leader that expects the lease of a restarted runner to end before it does. */
    @Test
    void maximumLeaseOfARestartedRunnerHasEndedBeforeItsTaskStartsElsewhere() {
        startOnRestartedRunner();
        loop.advance(Duration.ofMillis(10));
        assertThat(restarting.runs(new TaskKey("job", 0, 0, 0))).isTrue();
        connections.restartingCut = true;
        addRunner("other");
        loop.advance(Duration.ofSeconds(15));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a delayed start that a restarted runner executes after its task has started elsewhere. */
    @Test
    void delayedStartOnARestartedRunnerHasNoEffectAfterItsTaskStartsElsewhere() {
        connections.requestLatency = Duration.ofSeconds(9);
        connections.fate = ProtocolRunnerCalls.Fate.RESPONSE_LOST;
        startOnRestartedRunner();
        connections.restartingCut = true;
        connections.requestLatency = Duration.ofMillis(2);
        connections.fate = ProtocolRunnerCalls.Fate.ANSWERED;
        addRunner("other");
        loop.advance(Duration.ofSeconds(15));
        assertThat(history.violations()).isEmpty();
    }

    /** Restarts a runner while a poll waits for it, and has a start sent to it before the poll fails. */
    private void startOnRestartedRunner() {
        Duration requestLatency = connections.requestLatency;
        ProtocolRunnerCalls.Fate fate = connections.fate;
        connections.requestLatency = Duration.ofMillis(2);
        connections.fate = ProtocolRunnerCalls.Fate.ANSWERED;
        startLeader();
        submit("busy");
        loop.advance(Duration.ofSeconds(20));
        restarting.crash();
        loop.advance(Duration.ofMillis(500));
        restarting.boot();
        history.processStarted(restarting);
        connections.requestLatency = requestLatency;
        connections.fate = fate;
        int starts = connections.startsToRestarting;
        submit("job");
        while (connections.startsToRestarting == starts) {
            loop.advance(Duration.ofMillis(1));
        }
    }

    private void startLeader() {
        LeaderRecord record = new LeaderRecord(1, "node", "10.0.0.9:1", 1, false, List.of());
        write(LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        DecisionLog log = new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, "node");
        NodeServices services = new NodeServices(
                loop, client, new ProtocolRunnerCalls(loop, loop, connections), client, timeOfDay, log);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        new Leader(services, peers, record, version, reason -> {}).start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(1));
    }

    private void submit(String id) {
        JobDefinition job = JobDefinitions.tasks(id, 1, RUN_DURATION.toMillis());
        history.submitted(job);
        write(id, RecordCodec.encodeOpenJob(job));
    }

    private void write(String key, byte[] value) {
        store.apply(new RecordStore.Transaction(
                List.of(), List.of(new RecordStore.Write(RecordStore.Table.JOBS, key, value))));
    }
}
