package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests jobs with a record that cannot be read: guards against tasks that run again after they were done. */
class HeldJobsTest {

    private static final byte[] GARBAGE = {(byte) 0xc1, 7, 7, 7};
    private static final Duration TASK_DURATION = Duration.ofSeconds(12);

    /** Covers the interval of the reads of held jobs and several rounds of scheduling. */
    private static final Duration RELOAD_TIME = FleetConstants.HELD_JOBS_READ_INTERVAL.plusSeconds(2);

    private final List<TaskKey> starts = new ArrayList<>();
    private final List<RunnerStatus.EndedRun> ends = new ArrayList<>();
    private final List<TaskKey> acknowledgedEnds = new ArrayList<>();
    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final ProtocolRunnerCalls calls = new ProtocolRunnerCalls(loop, TASK_DURATION);
    private final ProtocolRunner runner = new ProtocolRunner("r", loop, new RecordingObserver());
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private long epoch;
    private Leader leader;

    private final class RecordingObserver implements ProtocolRunner.Observer {

        @Override
        public void started(ProtocolRunner on, TaskKey task, long runNumber, long startEpoch) {
            starts.add(task);
        }

        @Override
        public void ended(ProtocolRunner on, RunnerStatus.EndedRun end) {
            ends.add(end);
        }

        @Override
        public void acknowledged(ProtocolRunner on, RunnerStatus.EndedRun end, boolean leaseExpiredSinceEnd) {
            acknowledgedEnds.add(end.task());
        }
    }

    private void startLeader() {
        if (leader != null) {
            leader.end();
        }
        epoch++;
        LeaderRecord record = new LeaderRecord(epoch, "node", "10.0.0.9:1", 1, false, List.of());
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        NodeServices services = new NodeServices(
                loop,
                store,
                calls,
                done -> done.accept(Optional.of(List.of(runner.descriptor()))),
                timeOfDay,
                new DecisionLog(sink, timeOfDay, loop, "node"),
                FleetMetrics.NONE);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        leader = new Leader(services, new StoreContact(loop), peers, record, version, reason -> {});
        leader.start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(1));
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
        loop.advance(Duration.ofMillis(20));
    }

    private void submit(String job, int count) {
        write(
                RecordStore.Table.JOBS,
                job,
                RecordCodec.encodeOpenJob(JobDefinitions.tasks(job, count, TASK_DURATION.toMillis())));
    }

    private static byte[] progressWithDoneTasks(int count) {
        List<JobProgress.TaskProgress> tasks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tasks.add(new JobProgress.TaskProgress(0, 0, i, true, List.of(), "", List.of()));
        }
        return ProgressCodec.encode(new JobProgress(1, tasks));
    }

    private List<TaskKey> startsOf(String job) {
        return starts.stream().filter(task -> task.job().equals(job)).toList();
    }

    private List<TaskKey> acknowledgedEndsOf(String job) {
        return acknowledgedEnds.stream().filter(task -> task.job().equals(job)).toList();
    }

    private long loggedLines(String event, String field, String value) {
        sink.flush();
        return output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"event\":\"" + event + "\"")
                        && line.contains("\"" + field + "\":\"" + value + "\""))
                .count();
    }

    private long heldEndRecords() {
        return store.table(RecordStore.Table.PROGRESS).keySet().stream()
                .filter(key -> key.startsWith("!end/"))
                .count();
    }

    private JobState storedState(String job) throws CorruptRecordException {
        byte[] value = store.table(RecordStore.Table.JOBS).get(job).value();
        return RecordCodec.decodeJob(job, value) instanceof StoredJob.Finished finished ? finished.state() : null;
    }

    /** Ends the leader while both tasks of a job run, and damages the job's progress. */
    private void runTasksThenDamageProgress() {
        calls.add(runner);
        startLeader();
        submit("j", 2);
        submit("other", 1);
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("j")).hasSize(2);
        leader.end();
        write(RecordStore.Table.PROGRESS, "j", GARBAGE);
    }

    /** Guards against another run of a task whose end only the damaged record contains. */
    @Test
    void jobWhoseProgressCannotBeDecodedStartsNothing() {
        calls.add(runner);
        submit("j", 2);
        submit("other", 1);
        write(RecordStore.Table.PROGRESS, "j", GARBAGE);
        startLeader();
        loop.advance(Duration.ofSeconds(20));
        assertThat(startsOf("j")).isEmpty();
        assertThat(startsOf("other")).hasSize(1);
        assertThat(leader.state("j").orElseThrow().name()).isEqualTo("HELD");
        assertThat(loggedLines("record-skipped", "key", "j")).isEqualTo(1);
    }

    /** Guards against another run of a task whose end the progress ascribes to a task that does not exist. */
    @Test
    void jobWhoseProgressNamesAnotherTaskStartsNothing() {
        calls.add(runner);
        submit("j", 2);
        JobProgress.TaskProgress odd = new JobProgress.TaskProgress(0, 0, 5, true, List.of(), "", List.of());
        write(RecordStore.Table.PROGRESS, "j", ProgressCodec.encode(new JobProgress(1, List.of(odd))));
        startLeader();
        loop.advance(Duration.ofSeconds(10));
        assertThat(startsOf("j")).isEmpty();
    }

    /** Guards against work that is lost because the runs of a job whose progress is not known are stopped or expire. */
    @Test
    void runsOfAHeldJobGoOnAndTheirEndsAreNotLost() throws CorruptRecordException {
        runTasksThenDamageProgress();
        startLeader();
        loop.advance(TASK_DURATION.plusSeconds(3));
        assertThat(ends).extracting(end -> end.reason().name()).containsOnly("DONE");
        assertThat(acknowledgedEndsOf("j")).as("ends that are stored").hasSize(2);
        startLeader();
        write(RecordStore.Table.PROGRESS, "j", progressWithDoneTasks(0));
        loop.advance(RELOAD_TIME);
        assertThat(startsOf("j")).as("both tasks are known to be done").hasSize(2);
        assertThat(storedState("j")).isEqualTo(JobState.COMPLETED);
        assertThat(heldEndRecords()).isZero();
    }

    /** Guards against an end that the runner discards although no leader could store it. */
    @Test
    void endsOfAHeldJobAreAcknowledgedOnlyOnceTheyAreStored() {
        runTasksThenDamageProgress();
        startLeader();
        store.setRejecting(true);
        loop.advance(TASK_DURATION);
        assertThat(ends).isNotEmpty();
        assertThat(acknowledgedEndsOf("j")).isEmpty();
        store.setRejecting(false);
        loop.advance(Duration.ofSeconds(3));
        assertThat(acknowledgedEndsOf("j")).hasSize(2);
        assertThat(heldEndRecords()).isEqualTo(2);
    }

    /** Guards against a second run beside one that goes on when its job is loaded. */
    @Test
    void rewrittenProgressLoadsTheJobAndItsRunsAreAdopted() throws CorruptRecordException {
        runTasksThenDamageProgress();
        startLeader();
        write(RecordStore.Table.PROGRESS, "j", progressWithDoneTasks(0));
        loop.advance(RELOAD_TIME);
        assertThat(ends).as("the tasks still run").isEmpty();
        assertThat(loggedLines("job-released", "job", "j")).isEqualTo(1);
        loop.advance(TASK_DURATION);
        assertThat(startsOf("j")).hasSize(2);
        assertThat(storedState("j")).isEqualTo(JobState.COMPLETED);
        assertThat(loggedLines("job-released", "job", "j")).isEqualTo(1);
    }

    /** Guards against tasks that start although the rewritten record says that they are done, or that never start. */
    @Test
    void rewrittenProgressStartsOnlyTasksThatAreNotDone() {
        calls.add(runner);
        submit("j", 2);
        write(RecordStore.Table.PROGRESS, "j", GARBAGE);
        startLeader();
        write(RecordStore.Table.PROGRESS, "j", progressWithDoneTasks(1));
        loop.advance(RELOAD_TIME);
        assertThat(startsOf("j")).containsExactly(new TaskKey("j", 0, 0, 1));
    }

    /** Guards against a removed record that counts as the progress of a new job. */
    @Test
    void removedProgressLoadsNothing() {
        calls.add(runner);
        submit("j", 2);
        write(RecordStore.Table.PROGRESS, "j", GARBAGE);
        startLeader();
        write(RecordStore.Table.PROGRESS, "j", null);
        loop.advance(RELOAD_TIME);
        assertThat(startsOf("j")).isEmpty();
    }

    /** Guards against a job that no operator can end. */
    @Test
    void heldJobIsCancelledAndItsRunsAreStopped() throws CorruptRecordException {
        runTasksThenDamageProgress();
        startLeader();
        write(RecordStore.Table.JOBS, StoredJob.cancelKey("j"), new byte[] {1});
        loop.advance(Duration.ofSeconds(3));
        assertThat(storedState("j")).isEqualTo(JobState.CANCELLED);
        assertThat(leader.state("j")).contains(JobState.CANCELLED);
        assertThat(ends).extracting(end -> end.reason().name()).contains("STOPPED");
        assertThat(runner.runs(new TaskKey("j", 0, 0, 0))).isFalse();
        loop.advance(TASK_DURATION.plusSeconds(3));
        assertThat(store.table(RecordStore.Table.PROGRESS)).doesNotContainKey("j");
        assertThat(heldEndRecords()).isZero();
    }

    /** Guards against a cancellation from before a takeover that is not applied to a held job. */
    @Test
    void jobThatWasCancelledBeforeItIsHeldIsCancelled() throws CorruptRecordException {
        runTasksThenDamageProgress();
        write(RecordStore.Table.JOBS, StoredJob.cancelKey("j"), new byte[] {1});
        startLeader();
        loop.advance(Duration.ofSeconds(3));
        assertThat(storedState("j")).isEqualTo(JobState.CANCELLED);
    }

    /** Ends the leader while both tasks of a job run, and damages the record of the job. */
    private byte[] runTasksThenDamageJob() {
        calls.add(runner);
        startLeader();
        submit("j", 2);
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("j")).hasSize(2);
        leader.end();
        byte[] job = store.table(RecordStore.Table.JOBS).get("j").value();
        write(RecordStore.Table.JOBS, "j", GARBAGE);
        return job;
    }

    /** Guards against an end that a runner discards because its leader does not know the job. */
    @Test
    void endsOfAJobThatCannotBeDecodedAreNotLost() throws CorruptRecordException {
        byte[] job = runTasksThenDamageJob();
        startLeader();
        loop.advance(TASK_DURATION.plusSeconds(3));
        assertThat(ends).extracting(end -> end.reason().name()).containsOnly("DONE");
        assertThat(acknowledgedEndsOf("j")).as("ends that are stored").hasSize(2);
        startLeader();
        write(RecordStore.Table.JOBS, "j", job);
        loop.advance(RELOAD_TIME);
        assertThat(startsOf("j")).as("both tasks are known to be done").hasSize(2);
        assertThat(storedState("j")).isEqualTo(JobState.COMPLETED);
        assertThat(heldEndRecords()).isZero();
    }

    /** Guards against another run of a task that was done before the record of its job was damaged. */
    @Test
    void rewrittenJobIsLoadedWithItsProgress() {
        calls.add(runner);
        submit("j", 2);
        byte[] job = store.table(RecordStore.Table.JOBS).get("j").value();
        write(RecordStore.Table.JOBS, "j", GARBAGE);
        write(RecordStore.Table.PROGRESS, "j", progressWithDoneTasks(1));
        startLeader();
        write(RecordStore.Table.JOBS, "j", job);
        loop.advance(RELOAD_TIME);
        assertThat(startsOf("j")).containsExactly(new TaskKey("j", 0, 0, 1));
    }

    /** Guards against runs that start a second time when a leader in office finds that it can read their job. */
    @Test
    void runsOfARewrittenJobAreAdopted() throws CorruptRecordException {
        byte[] job = runTasksThenDamageJob();
        startLeader();
        write(RecordStore.Table.JOBS, "j", job);
        loop.advance(RELOAD_TIME);
        assertThat(ends).as("the tasks still run").isEmpty();
        loop.advance(TASK_DURATION);
        assertThat(startsOf("j")).hasSize(2);
        assertThat(storedState("j")).isEqualTo(JobState.COMPLETED);
    }

    /** Guards against a job that stays held although its record was mended, and one that is held although it is known. */
    @Test
    void jobThatIsDamagedWhileALeaderFollowsIt() {
        calls.add(runner);
        startLeader();
        submit("known", 1);
        loop.advance(Duration.ofSeconds(2));
        write(RecordStore.Table.JOBS, "known", GARBAGE);
        write(RecordStore.Table.JOBS, "new", GARBAGE);
        loop.advance(Duration.ofSeconds(2));
        assertThat(leader.state("known")).contains(JobState.RUNNING);
        assertThat(leader.state("new").orElseThrow().name()).isEqualTo("HELD");
        submit("new", 1);
        loop.advance(RELOAD_TIME);
        assertThat(startsOf("new")).hasSize(1);
    }

    /** Guards against a list of ends that a runner cannot discard because their job has been removed. */
    @Test
    void endsOfAJobThatDoesNotExistAreAcknowledged() {
        runTasksThenDamageJob();
        startLeader();
        write(RecordStore.Table.JOBS, "j", null);
        startLeader();
        submit("other", 1);
        loop.advance(TASK_DURATION.plusSeconds(3));
        assertThat(acknowledgedEndsOf("j")).hasSize(2);
        assertThat(heldEndRecords()).isZero();
        assertThat(leader.state("j")).isEmpty();
    }

    /** Guards against a job that no operator can end, because its record cannot be decoded. */
    @Test
    void jobThatCannotBeDecodedCanBeCancelled() throws CorruptRecordException {
        runTasksThenDamageJob();
        startLeader();
        ElectionCluster followers = new ElectionCluster();
        JobRequestHandler handler = new JobRequestHandler(
                loop,
                store,
                new StoreContact(loop),
                followers.start("node-0").election(),
                new FakePeerCalls(loop, new FakePeerCalls.Network()),
                FleetMetrics.NONE,
                followers.timeOfDay());
        List<JobRequestHandler.Outcome> outcomes = new ArrayList<>();
        handler.cancel("j", outcomes::add);
        loop.advance(Duration.ofSeconds(5));
        assertThat(outcomes).hasSize(1).first().isInstanceOf(JobRequestHandler.Outcome.Accepted.class);
        assertThat(storedState("j")).isEqualTo(JobState.CANCELLED);
        assertThat(ends).extracting(end -> end.reason().name()).containsOnly("STOPPED");
    }

    /** Guards against a state of a job that does not exist. */
    @Test
    void damagedProgressWithoutAJobHoldsNothing() {
        calls.add(runner);
        submit("other", 1);
        write(RecordStore.Table.PROGRESS, "gone", GARBAGE);
        startLeader();
        loop.advance(Duration.ofSeconds(2));
        assertThat(startsOf("other")).hasSize(1);
        assertThat(leader.state("gone")).isEmpty();
    }
}
