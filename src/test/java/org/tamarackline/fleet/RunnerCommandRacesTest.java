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

/** Tests one leader whose commands are delayed or reach a runner that has restarted unnoticed. */
class RunnerCommandRacesTest {

    private static final Duration LATENCY = Duration.ofMillis(2);
    private static final Duration DOWNTIME = Duration.ofMillis(500);

    /** Time for a read of the directory, a poll, a scheduling round and a stop. */
    private static final Duration TIME_FOR_CALLS = Duration.ofMillis(40);

    private final ManualLoop loop = new ManualLoop();
    private final RunHistory history = new RunHistory(loop, true);
    private final SimulatedStore store = new SimulatedStore(loop, true);
    private final SimulatedStoreClient.Link link = new SimulatedStoreClient.Link(new Random(1), 500);
    private final SimulatedStoreClient client = new SimulatedStoreClient(loop, loop, store, link);
    private final Map<String, ProtocolRunner> runners = new TreeMap<>();
    private final Map<String, Duration> runDurations = new TreeMap<>();
    private final TestConnections connections = new TestConnections();
    private final ProtocolRunner runner = addRunner("first");
    private long firstStartNanos;

    /** Connections of which the first runner's may be cut, and some starts and one poll of it may be delayed. */
    private final class TestConnections implements ProtocolRunnerCalls.Connections {

        private Duration nextStartDelay = Duration.ZERO;
        private int startsToDelay = 1;
        private Duration nextPollDelay = Duration.ZERO;
        private boolean sendingStart;
        private boolean cut;
        private int sentStarts;

        @Override
        public ProtocolRunner runnerAt(String address) {
            return runners.get(address);
        }

        @Override
        public ProtocolRunnerCalls.Delivery next(RunnerDescriptor called) {
            Duration delay = called.id().equals(runner.id()) ? takeDelay() : Duration.ZERO;
            if (!responsesArrive(called)) {
                return new ProtocolRunnerCalls.Delivery(ProtocolRunnerCalls.Fate.CALL_LOST, LATENCY, LATENCY);
            }
            return delay.isZero()
                    ? new ProtocolRunnerCalls.Delivery(ProtocolRunnerCalls.Fate.ANSWERED, LATENCY, LATENCY)
                    : new ProtocolRunnerCalls.Delivery(ProtocolRunnerCalls.Fate.RESPONSE_LOST, delay, LATENCY);
        }

        private Duration takeDelay() {
            Duration delay = sendingStart ? nextStartDelay : nextPollDelay;
            if (sendingStart) {
                startsToDelay--;
                nextStartDelay = startsToDelay > 0 ? nextStartDelay : Duration.ZERO;
            } else {
                nextPollDelay = Duration.ZERO;
            }
            sendingStart = false;
            return delay;
        }

        @Override
        public boolean responsesArrive(RunnerDescriptor called) {
            return !cut || !called.id().equals(runner.id());
        }

        @Override
        public ProtocolRunner.RunPlan plan(ProtocolRunner on, TaskKey task, long runNumber) {
            return new ProtocolRunner.RunPlan(runDurations.get(task.job()), EndReason.DONE);
        }

        @Override
        public void startSent(RunnerDescriptor called, RunnerCalls.StartCommand command) {
            history.startSent("node", command.task(), command.runNumber(), command.epoch(), called.id());
            sentStarts++;
            sendingStart = called.id().equals(runner.id());
        }

        @Override
        public void statusReceived(RunnerDescriptor called, RunnerStatus status) {}

        @Override
        public void deliverToLaterProcess(ProtocolRunner on, ProtocolRunnerCalls.LateCommand command) {
            if (on.up()) {
                command.execution().run();
            }
        }
    }

    private ProtocolRunner addRunner(String id) {
        ProtocolRunner added = new ProtocolRunner(id, loop, history);
        runners.put(added.address(), added);
        link.directory().put(id, added.descriptor());
        history.processStarted(added);
        return added;
    }

    /** Guards against a leader that expects the lease of a restarted runner to end before it does. */
    @Test
    void taskOfARestartedRunnerStartsElsewhereOnlyAfterTheRunnersMaximumLease() {
        restartWhilePolling();
        submitAndAwaitStart("job");
        loop.advance(Duration.ofMillis(10));
        assertThat(runner.runs(taskOf("job"))).isTrue();
        connections.cut = true;
        addRunner("second");
        loop.advance(Duration.ofSeconds(15));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a delayed start that a restarted runner executes after its task has started elsewhere. */
    @Test
    void delayedStartOnARestartedRunnerHasNoEffectAfterItsTaskStartedElsewhere() {
        restartWhilePolling();
        connections.nextStartDelay = Duration.ofSeconds(9);
        submitAndAwaitStart("job");
        connections.cut = true;
        addRunner("second");
        loop.advance(Duration.ofSeconds(15));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a delayed start that a runner executes after it was lost and is back. */
    @Test
    void delayedStartHasNoEffectAfterItsTaskStartedElsewhere() {
        startLeader();
        submitAndAwaitStart("busy");
        connections.nextStartDelay = Duration.ofSeconds(9);
        submitAndAwaitStart("job");
        connections.cut = true;
        addRunner("second");
        loop.advance(Duration.ofSeconds(7));
        connections.cut = false;
        for (int i = 0; i < 4; i++) {
            submit("more" + i);
        }
        loop.advance(Duration.ofSeconds(5));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a start that the next process executes beside its task's next run, although its stop was confirmed. */
    @Test
    void startWhoseStopWasConfirmedHasNoEffectOnTheNextProcess() {
        startLeader();
        startElsewhereAfterAConfirmedStop(Duration.ofSeconds(9));
        restartFirstRunner();
        loop.advance(Duration.ofSeconds(12));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a start that is on its way while its runner restarts several times. */
    @Test
    void startWhoseStopWasConfirmedHasNoEffectOnLaterProcesses() {
        startLeader();
        startElsewhereAfterAConfirmedStop(Duration.ofSeconds(11));
        for (int i = 0; i < 3; i++) {
            restartFirstRunner();
            loop.advance(Duration.ofMillis(1_500));
        }
        loop.advance(Duration.ofSeconds(12));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a new process of an idle runner that is told to stop the run only with the next regular poll. */
    @Test
    void nextProcessOfAnIdleRunnerStopsTheRunWithinOneReadOfTheDirectory() {
        startLeader();
        Duration untilRestarted = Duration.ofSeconds(3);
        Duration untilStopped = FleetConstants.DIRECTORY_READ_INTERVAL.plus(TIME_FOR_CALLS);
        startElsewhereAfterAConfirmedStop(untilRestarted.plus(untilStopped));
        loop.advance(untilRestarted.minus(sinceFirstStart()).minus(DOWNTIME));
        restartFirstRunner();
        loop.advance(Duration.ofSeconds(12));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a start of an earlier leader that the next process of its runner executes. */
    @Test
    void startOfAnEarlierLeaderHasNoEffectOnAProcessThatHasAnsweredTheNextLeader() {
        Leader first = startLeader();
        startElsewhereAfterAConfirmedStop(Duration.ofSeconds(9));
        first.end();
        startLeader(2);
        restartFirstRunner();
        loop.advance(Duration.ofSeconds(12));
        assertThat(history.violations()).isEmpty();
    }

    /** Has both attempts of a start delayed, and returns once the runner has confirmed a stop and the task runs elsewhere. */
    private void startElsewhereAfterAConfirmedStop(Duration startDelay) {
        connections.startsToDelay = 2;
        connections.nextStartDelay = startDelay;
        submitAndAwaitStart("job");
        firstStartNanos = loop.nowNanos();
        runner.drain();
        link.directory().put(runner.id(), runner.descriptor());
        ProtocolRunner second = addRunner("second");
        while (!second.runs(taskOf("job"))) {
            loop.advance(Duration.ofMillis(10));
        }
    }

    private Duration sinceFirstStart() {
        return Duration.ofNanos(loop.nowNanos() - firstStartNanos);
    }

    private void restartFirstRunner() {
        runner.crash();
        loop.advance(DOWNTIME);
        runner.boot();
        history.processStarted(runner);
        link.directory().put(runner.id(), runner.descriptor());
    }

    /** Guards against a given-up start that is forgotten with the directory entry of its runner. */
    @Test
    void delayedStartHasNoEffectIfTheRunnersEntryExpiredMeanwhile() {
        startLeader();
        submitAndAwaitStart("busy");
        connections.nextStartDelay = Duration.ofSeconds(9);
        submitAndAwaitStart("job");
        connections.cut = true;
        addRunner("second");
        loop.advance(Duration.ofSeconds(2));
        link.directory().remove("first");
        loop.advance(Duration.ofSeconds(5));
        link.directory().put("first", runner.descriptor());
        connections.cut = false;
        for (int i = 0; i < 4; i++) {
            submit("more" + i);
        }
        loop.advance(Duration.ofSeconds(5));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a successor that expects the lease of a restarted runner to end before it does. */
    @Test
    void successorWaitsForTheMaximumLeaseOfARunnerThatRestartedUnnoticed() {
        Leader first = restartWhilePolling();
        submitAndAwaitStart("job");
        loop.advance(Duration.ofMillis(10));
        assertThat(runner.runs(taskOf("job"))).isTrue();
        connections.cut = true;
        addRunner("second");
        loop.advance(Duration.ofMillis(200));
        first.end();
        startLeader(2);
        loop.advance(Duration.ofSeconds(15));
        assertThat(history.violations()).isEmpty();
    }

    /** Guards against a delayed acknowledgement for an earlier process that discards ends of the new one. */
    @Test
    void delayedAcknowledgementOfAnEarlierProcessDiscardsNoEndOfTheNewOne() {
        startLeader();
        submitAndAwaitStart("busy");
        runDurations.put("short", Duration.ofMillis(300));
        submitAndAwaitStart("short");
        store.setAdditionalLatency(Duration.ofMillis(300));
        loop.advance(Duration.ofMillis(310));
        runner.crash();
        loop.advance(DOWNTIME);
        runner.boot();
        history.processStarted(runner);
        connections.nextPollDelay = Duration.ofSeconds(5);
        loop.advance(Duration.ofMillis(2_400));
        store.setAdditionalLatency(Duration.ZERO);
        runDurations.put("job", Duration.ofMillis(1_500));
        submitAndAwaitStart("job");
        loop.advance(Duration.ofSeconds(1));
        connections.cut = true;
        loop.advance(Duration.ofSeconds(3));
        connections.cut = false;
        loop.advance(Duration.ofSeconds(5));
        assertThat(history.violations()).isEmpty();
    }

    /**
     * Guards against a leader that forgets the lease which a restarted runner granted to a renewal that was computed from
     * the clock of the earlier process.
     */
    @Test
    void leaseOfARenewalThatReachedARestartedRunnerEndsBeforeItsTasksStartElsewhere() {
        startLeader();
        submitAndAwaitStart("busy");
        loop.advance(Duration.ofSeconds(20));
        // The leader may send no polls any more when the runner restarts, and renews the lease when the store is back.
        store.setAvailability(SimulatedStore.Availability.REJECTING);
        loop.advance(FleetConstants.LEADERSHIP_LEASE.plusSeconds(2));
        runner.crash();
        loop.advance(DOWNTIME);
        runner.boot();
        history.processStarted(runner);
        runDurations.put("short", Duration.ofMillis(20));
        submit("short");
        store.setAvailability(SimulatedStore.Availability.AVAILABLE);
        while (!runner.runs(taskOf("busy"))) {
            loop.advance(Duration.ofNanos(100_000));
        }
        loop.advance(Duration.ofMillis(40));
        connections.cut = true;
        addRunner("second");
        loop.advance(Duration.ofSeconds(15));
        assertThat(history.violations()).isEmpty();
    }

    /** Starts a leader, and restarts its runner while a poll waits there. */
    private Leader restartWhilePolling() {
        Leader leader = startLeader();
        submitAndAwaitStart("busy");
        loop.advance(Duration.ofSeconds(20));
        runner.crash();
        loop.advance(DOWNTIME);
        runner.boot();
        history.processStarted(runner);
        confirmLeader();
        return leader;
    }

    private Leader startLeader() {
        return startLeader(1);
    }

    private Leader startLeader(long epoch) {
        LeaderRecord record = new LeaderRecord(epoch, "node", "10.0.0.9:1", 1, false, List.of());
        write(LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        DecisionLog log = new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, loop, "node");
        NodeServices services = new NodeServices(
                loop,
                client,
                new ProtocolRunnerCalls(loop, loop, connections),
                client,
                timeOfDay,
                log,
                FleetMetrics.NONE);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        Leader leader = new Leader(services, new StoreContact(loop), peers, record, version, reason -> {});
        leader.start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(1));
        return leader;
    }

    /** Has the leader read a change, so that the store has confirmed it recently when it sends the next start. */
    private void confirmLeader() {
        write(StoredJob.cancelKey("unknown"), new byte[0]);
        loop.advance(Duration.ofMillis(100));
    }

    private static TaskKey taskOf(String job) {
        return new TaskKey(job, 0, 0, 0);
    }

    /** Submits a job with one task and returns when its start is being sent. */
    private void submitAndAwaitStart(String job) {
        int starts = connections.sentStarts;
        submit(job);
        while (connections.sentStarts == starts) {
            loop.advance(Duration.ofNanos(100_000));
        }
    }

    private void submit(String id) {
        runDurations.putIfAbsent(id, Duration.ofSeconds(60));
        JobDefinition job = JobDefinitions.tasks(id, 1, runDurations.get(id).toMillis());
        history.submitted(job);
        write(id, RecordCodec.encodeOpenJob(job));
        // The entry of a restarted runner is there once the leader asks for it, and not before.
        link.directory().computeIfPresent(runner.id(), (runnerId, entry) -> runner.descriptor());
    }

    private void write(String key, byte[] value) {
        store.apply(new RecordStore.Transaction(
                List.of(), List.of(new RecordStore.Write(RecordStore.Table.JOBS, key, value))));
    }
}
