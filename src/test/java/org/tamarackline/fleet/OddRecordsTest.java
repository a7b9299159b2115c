package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.FleetConfiguration;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against a record of another writer that ends a takeover or stops a leader from following the store. */
class OddRecordsTest {

    private static final byte[] GARBAGE = {(byte) 0xc1, 7, 7, 7};

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final FakeRunnerCalls calls = new FakeRunnerCalls(loop);
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);

    private final InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
    private List<RunnerDescriptor> directory = List.of(descriptor("a"));

    private DecisionLog log() {
        return new DecisionLog(sink, timeOfDay, loop, "node");
    }

    private static RunnerDescriptor descriptor(String id) {
        Resources capacity = new Resources(16_000, 64_000, 0);
        return new RunnerDescriptor(id, 1, "dispatch", "10.0.0.1:80", "dc", "", false, capacity, Set.of());
    }

    private void startLeader() {
        LeaderRecord record = new LeaderRecord(2, "node", "10.0.0.9:1", 1, false, List.of());
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        NodeServices services = new NodeServices(
                loop, store, calls, done -> done.accept(Optional.of(directory)), timeOfDay, log(), FleetMetrics.NONE);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        new Leader(services, new StoreContact(loop), peers, record, version, reason -> {}).start(loop.nowNanos());
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
        loop.advance(Duration.ofMillis(10));
    }

    private void submit(String job, int count) {
        write(RecordStore.Table.JOBS, job, RecordCodec.encodeOpenJob(JobDefinitions.tasks(job, count, 600_000)));
    }

    private long startsOf(String job) {
        return calls.starts().stream()
                .filter(start -> start.task().job().equals(job))
                .count();
    }

    private List<String> skipped(String key) {
        sink.flush();
        return output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"record-skipped\"") && line.contains("\"key\":\"" + key + "\""))
                .toList();
    }

    /** Guards against successors that all hang in the takeover because of one job whose fields are out of range. */
    @Test
    void takeoverSkipsAJobWithANegativeNumberOfTasks() {
        submit("bad", -1);
        submit("good", 1);
        startLeader();
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("good")).isEqualTo(1);
        assertThat(skipped("bad")).hasSize(1);
    }

    /** Guards against an out-of-memory error because a record announces two billion elements. */
    @Test
    void takeoverSkipsProgressThatAnnouncesTooManyTasks() {
        write(RecordStore.Table.PROGRESS, "bad", new byte[] {0, (byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff
        });
        submit("good", 1);
        startLeader();
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("good")).isEqualTo(1);
        assertThat(skipped("bad")).hasSize(1);
    }

    /** Guards against a leader that accepts no further jobs, because a change that it follows is out of range. */
    @Test
    void leaderFollowsTheJobsAfterAnOddOne() {
        startLeader();
        loop.advance(Duration.ofSeconds(1));
        submit("bad", -1);
        write(RecordStore.Table.JOBS, "garbage", GARBAGE);
        loop.advance(Duration.ofSeconds(3));
        submit("good", 1);
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("good")).isEqualTo(1);
        assertThat(skipped("bad")).hasSize(1);
        assertThat(skipped("garbage")).hasSize(1);
    }

    /** Guards against a leader that stops reading the directory, and to schedule, after one reading that it cannot apply. */
    @Test
    void leaderGoesOnAfterADirectoryThatItCannotApply() {
        startLeader();
        loop.advance(Duration.ofSeconds(1));
        directory = Collections.singletonList(null);
        assertThatThrownBy(() -> loop.advance(FleetConstants.DIRECTORY_READ_INTERVAL.plusSeconds(1)))
                .isInstanceOf(NullPointerException.class);
        directory = List.of(descriptor("b"));
        loop.advance(FleetConstants.DIRECTORY_READ_INTERVAL.plusSeconds(1));
        submit("good", 1);
        loop.advance(Duration.ofSeconds(3));
        assertThat(calls.starts()).extracting(FakeRunnerCalls.SentStart::runner).containsExactly("b");
    }

    /** Guards against a line of the log for each reading of a leader record that cannot be decoded. */
    @Test
    void unreadableLeaderRecordIsLoggedOnce() {
        ElectionCluster cluster = new ElectionCluster();
        cluster.write(RecordStore.Table.JOBS, LeaderRecord.KEY, GARBAGE);
        cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(cluster.logged().lines().filter(line -> line.contains("record-skipped")))
                .hasSize(1);
    }

    /** Guards against a node whose configuration never changes again, because the decoder failed on one record. */
    @Test
    void configurationIsFollowedAfterARecordOnWhichTheDecoderFails() {
        ConfigurationFollower follower = new ConfigurationFollower(
                loop,
                store,
                entry -> {
                    if (entry.key().equals("odd")) {
                        throw new IllegalStateException("test");
                    }
                    return Optional.of(new FleetConfiguration(entry.version(), List.of()));
                },
                log(),
                FleetMetrics.NONE,
                new Random(1));
        write(RecordStore.Table.CONFIGURATION, "odd", GARBAGE);
        follower.start();
        loop.advance(Duration.ofSeconds(1));
        write(RecordStore.Table.CONFIGURATION, "config", GARBAGE);
        loop.advance(FleetConstants.CONFIGURATION_FOLLOW_WAIT.plusSeconds(1));
        assertThat(follower.current().version()).isPositive();
    }

    /** Guards against a job that never completes because its progress has more occurrences than the job. */
    @Test
    void progressCreatesNoMoreOccurrencesThanTheJobHas() {
        submit("j", 1);
        JobProgress progress =
                new JobProgress(3, List.of(new JobProgress.TaskProgress(0, 0, 0, true, List.of(), "", List.of())));
        write(RecordStore.Table.PROGRESS, "j", ProgressCodec.encode(progress));
        startLeader();
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("j")).isZero();
    }

    /** Guards against a name of a task that runners report back and that this leader cannot read. */
    @Test
    void jobWhoseIdentifierHasADotIsSkipped() {
        submit("a.b", 1);
        startLeader();
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("a.b")).isZero();
    }

    /** Guards against a second run of a task on a runner that a successor does not know, since it cannot read its record. */
    @Test
    void runnerWithAnUnreadableRosterRecordIsWaitedFor() throws CorruptRecordException {
        write(RecordStore.Table.ROSTER, "b", GARBAGE);
        submit("j", 1);
        calls.stopResponding("b");
        startLeader();
        loop.advance(Duration.ofSeconds(3));
        assertThat(startsOf("j")).isZero();
        loop.advance(Duration.ofSeconds(20));
        assertThat(startsOf("j")).isEqualTo(1);
        assertThat(skipped("b")).hasSize(1);
        byte[] stored = store.table(RecordStore.Table.ROSTER).get("b").value();
        assertThat(RecordCodec.decodeRoster("b", stored).cordoned())
                .as("the next leader can read the record")
                .isTrue();
    }
}
