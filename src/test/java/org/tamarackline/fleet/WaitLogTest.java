package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the log says what a long-running task and the loss of its runner wait for. */
class WaitLogTest {

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final FakeRunnerCalls calls = new FakeRunnerCalls(loop);
    private final List<RunnerDescriptor> registered = new ArrayList<>();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private final InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
    private final DecisionLog log = new DecisionLog(sink, timeOfDay, loop, "node");

    /** Guards against a log in which a wait that a cordon shortens looks like one that starts anew. */
    @Test
    void aSuccessorNamesTheCordonThatEndsItsWait() {
        Leader first = startLeaderWithTask();
        calls.stopResponding("b");
        loop.advance(Duration.ofSeconds(3));
        assertThat(lines("runner-loss-waits")).singleElement().asString().contains("own lease");
        assertThat(lines("cordon-requested")).hasSize(1);
        assertThat(lines("cordon-stored")).singleElement().asString().contains("\"runner\":\"b\"");
        first.end();
        startLeader(2);
        loop.advance(Duration.ofSeconds(2));
        assertThat(lines("cordon-read")).singleElement().asString().contains("the end that the cordon names");
        assertThat(lines("runner-loss-waits").getLast()).contains("cordon of an earlier leader");
        calls.resumeResponding("b");
        loop.advance(Duration.ofSeconds(2));
        assertThat(lines("cordon-removed")).hasSize(1);
    }

    /** Guards against a wait for the leases of earlier leaders that the log does not explain. */
    @Test
    void aSuccessorWithoutACordonNamesTheLeasesOfEarlierLeaders() {
        store.setWriteFilter(LeaseLimits::withoutLimit);
        Leader first = startLeaderWithTask();
        calls.stopResponding("b");
        loop.advance(Duration.ofMillis(100));
        first.end();
        startLeader(2);
        loop.advance(Duration.ofSeconds(7));
        assertThat(lines("runner-loss-waits"))
                .singleElement()
                .asString()
                .contains("\"runner\":\"b\",\"remainingMs\":1", "leases of earlier leaders");
        assertThat(lines("task-waits").getLast())
                .contains("\"job\":\"j\"", "runners that it may still run on", "\"runners\":[\"b\"]");
        loop.advance(Duration.ofSeconds(9));
        assertThat(lines("runner-lost").getLast()).contains("silentMs\":1", "leaseEndedMs", "confirmedAfterMs");
    }

    /** Guards against a task that stands because the store rejects its placement, without a line that says so. */
    @Test
    void aRejectedPlacementIsNamedWithTheTimeOfTheNextAttempt() {
        registered.add(descriptor("a"));
        store.setRejectedWrites(write ->
                write.table() == RecordStore.Table.PROGRESS && write.key().startsWith("j"));
        submit("j");
        startLeader(1);
        loop.advance(Duration.ofSeconds(8));
        assertThat(lines("task-waits").getLast()).contains("placement rejected by the store", "\"retryMs\":");
    }

    /** Guards against a lack of capacity that looks like a wait for a runner. */
    @Test
    void aTaskWithoutARunnerWaitsForRoom() {
        submit("j");
        startLeader(1);
        loop.advance(Duration.ofSeconds(7));
        assertThat(lines("task-waits").getLast()).contains("no room on any runner", "\"runners\":[]");
    }

    /** Guards against a takeover of a large fleet that writes a line for each runner. */
    @Test
    void eventsOfManyRunnersAreSummarised() {
        RunnerEventLog events = new RunnerEventLog(loop, log);
        for (int i = 0; i < 300; i++) {
            events.write("cordon-read", "r" + i, OptionalLong.of(i), "reason");
        }
        loop.advance(Duration.ofSeconds(2));
        events.endPeriodIfDue();
        assertThat(lines("cordon-read"))
                .hasSize(RunnerEventLog.MAX_LINES + 1)
                .last()
                .asString()
                .contains("\"runners\":280,\"minRemainingMs\":20,\"maxRemainingMs\":299");
    }

    /** Guards against a change of leader whose cause, the leader or its follower, the log does not tell. */
    @Test
    void aTakeoverSaysWhatBecameOfThePingsAndWhoMayStillBeActive() {
        ElectionCluster cluster = new ElectionCluster();
        ElectionCluster.Node first = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(3));
        cluster.start("node-2");
        cluster.loop().advance(Duration.ofSeconds(3));
        cluster.kill(first);
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.logged())
                .containsPattern(
                        "\"leader-suspected\".*\"pingFailures\":\\[\"no response after \\d+ ms\",\"no response"
                                + ".*\"sinceAnswerMs\":\\d+,\"leaderStoreAgeMs\":\\d+,\"leaderUnansweredWritesMs\":\\d+,\"ownLoopDelayMs\":0}")
                .contains("\"possiblyActiveLeaders\":1,\"possiblyActiveAddresses\":[\"node-1:1\"]");
    }

    /** Starts a long-running task on runner "b". */
    private Leader startLeaderWithTask() {
        registered.add(descriptor("b"));
        submit("j");
        Leader leader = startLeader(1);
        loop.advance(Duration.ofSeconds(3));
        assertThat(calls.starts()).hasSize(1);
        registered.add(descriptor("a"));
        loop.advance(Duration.ofSeconds(1));
        return leader;
    }

    private Leader startLeader(long epoch) {
        LeaderRecord.EarlierLeader earlier = new LeaderRecord.EarlierLeader(epoch - 1, "10.0.0.8:1");
        List<LeaderRecord.EarlierLeader> possiblyActive = epoch > 1 ? List.of(earlier) : List.of();
        LeaderRecord record = new LeaderRecord(epoch, "node", "10.0.0.9:1", 1, false, possiblyActive);
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        NodeServices services = new NodeServices(
                loop,
                store,
                calls,
                done -> done.accept(Optional.of(List.copyOf(registered))),
                timeOfDay,
                log,
                FleetMetrics.NONE);
        PeerCalls unreachablePeers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        Leader leader = new Leader(services, new StoreContact(loop), unreachablePeers, record, version, reason -> {});
        leader.start(loop.nowNanos());
        return leader;
    }

    private void submit(String job) {
        write(RecordStore.Table.JOBS, job, RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask(job)));
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

    private List<String> lines(String event) {
        // The sink takes this line from its queue only after it has written the ones before.
        log.process("flush", "");
        sink.flush();
        return output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"event\":\"" + event + "\""))
                .toList();
    }
}
