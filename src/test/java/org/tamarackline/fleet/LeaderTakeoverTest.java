package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a leader starts no task a second time while a silent runner may still run it, and waits no longer than
 * needed.
 */
class LeaderTakeoverTest {

    private static final Duration LONGEST_LEASE = Duration.ofNanos(
                    (long) (FleetConstants.RUNNER_LEASE.toNanos() / (1 - FleetConstants.MAX_CLOCK_DRIFT)))
            .plus(FleetConstants.LEASE_MARGIN);

    private static final long LONG_TASK_MS = 600_000;

    /** Longest time for which a long-running task may stand, from the end of its runner's process. */
    private static final Duration MAX_STANDSTILL = Duration.ofSeconds(9);

    /** Time from the end of a leader until the next one leads. */
    private static final Duration LEADER_CHANGE = Duration.ofMillis(2_200);

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final FakeRunnerCalls calls = new FakeRunnerCalls(loop);
    private final PeerCalls unreachablePeers = new FakePeerCalls(loop, new FakePeerCalls.Network());
    private final List<RunnerDescriptor> registered = new ArrayList<>();

    /**
     * Guards against a second run of a task: a leader that has not noticed that it was replaced considers a runner lost,
     * although the new leader may have renewed the runner's lease.
     */
    @Test
    void taskOfALostRunnerWaitsUntilTheStoreConfirmsTheLeader() {
        registered.add(descriptor("a"));
        submit("j", false);
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("j")).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("a");
        registered.add(descriptor("b"));
        loop.advance(Duration.ofSeconds(2));
        calls.stopResponding("a");
        store.setRejecting(true);
        loop.advance(LONGEST_LEASE.plusMillis(1_500));
        assertThat(startsOf("j"))
                .as("before the store has confirmed the leader")
                .hasSize(1);
        store.setRejecting(false);
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("j")).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("a", "b");
    }

    /**
     * Guards against another run of a completed task: a leader that has not noticed that it was replaced gives up the runs
     * of a process that has ended, although the new leader may have read that they are done.
     */
    @Test
    void taskOfAnEndedProcessWaitsUntilTheStoreConfirmsTheLeader() {
        startLeaderWithTaskOnFirstOfTwoRunners();
        store.setRejecting(true);
        calls.replace("a");
        assertTaskStartsOnSecondRunnerOnceTheStoreIsBack();
    }

    /** As for an ended process, if a process with the same identifier has taken its place. */
    @Test
    void taskOfARestartedRunnerWaitsUntilTheStoreConfirmsTheLeader() {
        startLeaderWithTaskOnFirstOfTwoRunners();
        store.setRejecting(true);
        calls.restart("a");
        assertTaskStartsOnSecondRunnerOnceTheStoreIsBack();
    }

    /**
     * Guards against a start by a replaced leader on a runner that has forgotten the higher epoch by a restart which the
     * leader has not noticed.
     */
    @Test
    void runnerThatRestartedUnnoticedGetsNoStartWhileTheLeaderIsCutOffFromTheStore() {
        registered.add(descriptor("b"));
        submit("j", false);
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        registered.add(descriptor("a"));
        loop.advance(Duration.ofSeconds(1));
        registered.removeIf(runner -> runner.id().equals("b"));
        loop.advance(Duration.ofSeconds(1));
        store.setRejecting(true);
        loop.advance(Duration.ofMillis(700));
        calls.restart("a");
        calls.removeRuns("b");
        loop.advance(Duration.ofMillis(1_200));
        assertThat(startsOf("j")).as("while the store rejects calls").hasSize(1);
        store.setRejecting(false);
        registered.replaceAll(calls::entryOfProcess);
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("j")).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("b", "a");
    }

    /** Guards against a runner that counts as unused because it has no directory entry, although it has not reported. */
    @Test
    void taskOfAnUnregisteredRunnerWaitsUntilTheStoreConfirmsTheLeader() {
        registered.add(descriptor("a"));
        submit("j", false);
        Leader first = startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        registered.add(descriptor("b"));
        loop.advance(Duration.ofSeconds(2));
        calls.stopResponding("a");
        registered.removeIf(runner -> runner.id().equals("a"));
        first.end();
        startLeader(2);
        loop.advance(Duration.ofSeconds(1));
        store.setRejecting(true);
        calls.resumeResponding("a");
        calls.replace("a");
        assertTaskStartsOnSecondRunnerOnceTheStoreIsBack();
    }

    /** Guards against a first status that lacks the runs of an earlier process, whose ends a successor has acknowledged. */
    @Test
    void taskOfAnUnreportedRunnerThatRestartedWaitsUntilTheStoreConfirmsTheLeader() {
        registered.add(descriptor("a"));
        submit("j", false);
        Leader first = startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        registered.add(descriptor("b"));
        loop.advance(Duration.ofSeconds(2));
        calls.stopResponding("a");
        first.end();
        startLeader(2);
        loop.advance(Duration.ofSeconds(1));
        store.setRejecting(true);
        calls.resumeResponding("a");
        calls.restart("a");
        assertTaskStartsOnSecondRunnerOnceTheStoreIsBack();
    }

    /** Guards against a replaced leader that takes a conflict without rows for a confirmation. */
    @Test
    void conflictWithoutRowsDoesNotConfirmTheLeader() {
        startLeaderWithTaskOnFirstOfTwoRunners();
        store.setConflictsWithoutRows();
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, new byte[] {1});
        calls.replace("a");
        loop.advance(Duration.ofMillis(500));
        assertThat(startsOf("j")).hasSize(1);
    }

    /** Guards against a replaced leader that starts a job which was accepted after its successor's claim. */
    @Test
    void jobAcceptedDuringAReadAfterASuccessorsClaimIsNotStarted() {
        registered.add(descriptor("a"));
        startLeader(1);
        loop.advance(Duration.ofSeconds(3));
        store.loseHistoryOnce();
        store.setPageRows(1, () -> {
            write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(recordOf(2)));
            submit("zz", false);
        });
        loop.advance(Duration.ofSeconds(4));
        assertThat(startsOf("zz")).isEmpty();
    }

    /** Guards against a wait for a lost runner that starts again with each leader, when no earlier one can be asked. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 1_000, 3_000})
    void longRunningTaskOfALostRunnerStartsInTimeAcrossLeaders(long secondLeaderMs) {
        registered.add(descriptor("a"));
        submit("j", true);
        Leader first = startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        registered.add(descriptor("b"));
        loop.advance(Duration.ofSeconds(2));
        calls.stopResponding("a");
        long lostNanos = loop.nowNanos();
        first.end();
        loop.advance(LEADER_CHANGE);
        if (secondLeaderMs > 0) {
            Leader second = startLeader(2);
            loop.advance(Duration.ofMillis(secondLeaderMs));
            second.end();
            loop.advance(LEADER_CHANGE);
        }
        startLeader(3);
        loop.advance(MAX_STANDSTILL);
        assertThat(startsOf("j")).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("a", "b");
        assertThat(Duration.ofNanos(startsOf("j").getLast().sentNanos() - lostNanos))
                .isBetween(FleetConstants.RUNNER_LEASE, MAX_STANDSTILL);
    }

    private void startLeaderWithTaskOnFirstOfTwoRunners() {
        registered.add(descriptor("a"));
        submit("j", false);
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        registered.add(descriptor("b"));
        loop.advance(Duration.ofSeconds(2));
    }

    private void assertTaskStartsOnSecondRunnerOnceTheStoreIsBack() {
        loop.advance(Duration.ofSeconds(4));
        assertThat(startsOf("j"))
                .as("before the store has confirmed the leader")
                .hasSize(1);
        store.setRejecting(false);
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("j")).hasSize(2);
    }

    /**
     * Guards against a takeover after which one silent runner keeps the long-running tasks that ran on other runners from
     * starting again.
     */
    @Test
    void silentRunnerDoesNotHoldBackALongRunningTaskOfAnotherOne() {
        registered.add(descriptor("a"));
        submit("j", true);
        Leader first = startLeader(1);
        loop.advance(Duration.ofSeconds(1));
        registered.add(descriptor("b"));
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("j")).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("a");
        first.end();
        calls.removeRuns("a");
        calls.stopResponding("b");
        startLeader(2);
        loop.advance(Duration.ofSeconds(1));
        assertThat(startsOf("j")).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("a", "a");
    }

    /** Guards against a run that no later leader knows of, because its leader ended before the placement was stored. */
    @Test
    void longRunningTaskStartsOnlyOnceItsPlacementIsStored() {
        registered.add(descriptor("a"));
        startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        calls.stopResponding("a");
        loop.advance(FleetConstants.IDLE_POLL_INTERVAL.plusSeconds(2));
        submit("j", true);
        loop.advance(Duration.ofSeconds(3));
        store.setRejecting(true);
        calls.resumeResponding("a");
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("j")).as("while the store rejects transactions").isEmpty();
        store.setRejecting(false);
        store.loseResponses(1);
        loop.advance(Duration.ofSeconds(1));
        assertThat(startsOf("j"))
                .as("while the response of the store is missing")
                .isEmpty();
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("j")).hasSize(1);
    }

    /** Guards against a wait for a silent runner that starts anew at each takeover. */
    @Test
    void waitForASilentRunnerDoesNotRestartAtEachTakeover() {
        Leader first = startLeaderWithSilentRunner();
        long lastStartOrRenewalNanos = lastStartOrRenewalTo("b");
        loop.advance(Duration.ofSeconds(2));
        first.end();
        Leader second = startLeader(2);
        loop.advance(Duration.ofMillis(1_500));
        second.end();
        startLeader(3);
        long waitedNanos = loop.nowNanos() - lastStartOrRenewalNanos;
        loop.advance(LONGEST_LEASE.plusSeconds(1).minusNanos(waitedNanos));
        assertThat(startsOf("j")).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("b", "a");
        assertThat(startsOf("j").getLast().sentNanos() - lastStartOrRenewalNanos)
                .as("not before the lease has expired")
                .isGreaterThan(FleetConstants.RUNNER_LEASE.toNanos());
    }

    /** Guards against commands to a cordoned runner: a new leader relies on the stored end of the runner's lease. */
    @Test
    void cordonedRunnerGetsNoCommandBeforeTheUncordoningIsStored() {
        startLeaderWithSilentRunner();
        long lastStartOrRenewalNanos = lastStartOrRenewalTo("b");
        loop.advance(Duration.ofSeconds(2));
        store.setRejecting(true);
        calls.resumeResponding("b");
        loop.advance(Duration.ofSeconds(2));
        assertThat(lastStartOrRenewalTo("b"))
                .as("while the store rejects transactions")
                .isEqualTo(lastStartOrRenewalNanos);
        store.setRejecting(false);
        loop.advance(Duration.ofSeconds(1));
        assertThat(lastStartOrRenewalTo("b")).as("once it is uncordoned").isGreaterThan(lastStartOrRenewalNanos);
        loop.advance(Duration.ofSeconds(10));
        assertThat(startsOf("j")).as("its task is not started again").hasSize(1);
    }

    /** Guards against commands to a runner whose cordon was stored, but for which the store's response was lost. */
    @Test
    void runnerWhoseCordonMayBeStoredGetsNoCommand() {
        startLeaderWithSilentRunner();
        long lastStartOrRenewalNanos = lastStartOrRenewalTo("b");
        store.loseResponses(1);
        loop.advance(Duration.ofSeconds(2));
        store.setRejecting(true);
        calls.resumeResponding("b");
        loop.advance(Duration.ofSeconds(2));
        assertThat(lastStartOrRenewalTo("b")).isEqualTo(lastStartOrRenewalNanos);
    }

    /** Starts a task that is not long-running on runner "b", adds runner "a" to the directory, and silences "b". */
    private Leader startLeaderWithSilentRunner() {
        registered.add(descriptor("b"));
        submit("j", false);
        Leader leader = startLeader(1);
        loop.advance(Duration.ofSeconds(2));
        registered.add(descriptor("a"));
        loop.advance(Duration.ofSeconds(2));
        calls.stopResponding("b");
        loop.advance(Duration.ofMillis(1_100));
        return leader;
    }

    /** Returns the time at which the last start or renewal was sent to a runner; stops and throttles do not count. */
    private long lastStartOrRenewalTo(String runner) {
        long startNanos = calls.starts().stream()
                .filter(start -> start.runner().equals(runner))
                .mapToLong(FakeRunnerCalls.SentStart::sentNanos)
                .max()
                .orElseThrow();
        return calls.renewals().stream()
                .filter(renewal -> renewal.runner().equals(runner))
                .mapToLong(FakeRunnerCalls.SentRenewal::sentNanos)
                .reduce(startNanos, Math::max);
    }

    private List<FakeRunnerCalls.SentStart> startsOf(String job) {
        return calls.starts().stream()
                .filter(start -> start.task().job().equals(job))
                .toList();
    }

    private Leader startLeader(long epoch) {
        LeaderRecord record = recordOf(epoch);
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        DecisionLog log =
                new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, loop, "node" + epoch);
        NodeServices services = new NodeServices(
                loop,
                store,
                calls,
                done -> done.accept(Optional.of(List.copyOf(registered))),
                timeOfDay,
                log,
                FleetMetrics.NONE);
        Leader leader = new Leader(services, new StoreContact(loop), unreachablePeers, record, version, reason -> {});
        leader.start(loop.nowNanos());
        return leader;
    }

    private static LeaderRecord recordOf(long epoch) {
        List<LeaderRecord.EarlierLeader> possiblyActive =
                epoch > 1 ? List.of(new LeaderRecord.EarlierLeader(epoch - 1, "10.0.0.8:1")) : List.of();
        return new LeaderRecord(epoch, "node" + epoch, "10.0.0.9:1", 1, false, possiblyActive);
    }

    private void submit(String job, boolean longRunning) {
        JobDefinition definition =
                longRunning ? JobDefinitions.longRunningTask(job) : JobDefinitions.tasks(job, 1, LONG_TASK_MS);
        write(RecordStore.Table.JOBS, job, RecordCodec.encodeOpenJob(definition));
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
}
