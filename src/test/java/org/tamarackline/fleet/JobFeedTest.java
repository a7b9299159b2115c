package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.JobTracker;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what a leader concludes from reads of the job table. */
class JobFeedTest {

    /**
     * Time in which a leader has to learn of a cancellation: a task of the job must be gone 3 s after it, and a stop that is
     * lost is repeated after 0.7 s.
     */
    private static final Duration CANCELLATION_READ_BOUND = Duration.ofMillis(2_300);

    private static final Duration STEP = Duration.ofMillis(10);
    private static final String JOB = "0123456789abcdef";

    private final ManualLoop loop = new ManualLoop();
    private final DecisionLog log =
            new DecisionLog(new LineSink(OutputStream.nullOutputStream()), InstantSource.system(), loop, "node");
    private final ScriptedStore store = new ScriptedStore();
    private final List<Long> confirmationsNanos = new ArrayList<>();

    private NodeServices services(RecordStore access) {
        return new NodeServices(
                loop,
                access,
                new FakeRunnerCalls(loop),
                done -> done.accept(Optional.empty()),
                () -> Instant.EPOCH,
                log,
                FleetMetrics.NONE);
    }

    /** Store that returns prepared pages of changes, one per read. */
    private final class ScriptedStore implements RecordStore {

        private final StoreClock clock = new StoreClock();
        private final List<ReadResult> changes = new ArrayList<>();
        private final List<Long> followsSentNanos = new ArrayList<>();
        private List<Entry> records = List.of();

        @Override
        public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
            throw new AssertionError("a feed writes nothing");
        }

        @Override
        public void transactOnNewConnection(Transaction transaction, Consumer<TransactionResult> callback) {
            transact(transaction, callback);
        }

        @Override
        public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
            loop.execute(() -> callback.accept(new ReadResult.Page(records, 1, false)));
        }

        @Override
        public void readOnNewConnection(Table table, String from, String to, Consumer<ReadResult> callback) {
            read(table, from, to, callback);
        }

        @Override
        public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
            followsSentNanos.add(loop.nowNanos());
            if (!changes.isEmpty()) {
                ReadResult result = changes.removeFirst();
                loop.schedule(Duration.ofMillis(10), () -> callback.accept(result));
            }
        }

        @Override
        public void readChangesOnNewConnection(Table table, long afterVersion, Consumer<ReadResult> callback) {
            follow(table, afterVersion, Duration.ZERO, callback);
        }

        @Override
        public StoreClock clock() {
            return clock;
        }
    }

    private final class FakeLeader implements JobFeed.Callbacks {

        private boolean replaced;

        @Override
        public boolean leading() {
            return !replaced;
        }

        @Override
        public boolean ended() {
            return replaced;
        }

        @Override
        public void onLeaderRecordChanged(RecordStore.Entry entry) {
            replaced = true;
        }

        @Override
        public void onLeadershipConfirmed(long sentNanos) {
            confirmationsNanos.add(sentNanos);
        }

        @Override
        public void requestSchedulingRound() {}
    }

    /** Guards against a replaced leader that takes a page for a confirmation which ends before its successor's claim. */
    @Test
    void truncatedPageOfChangesDoesNotConfirmTheLeader() {
        store.changes.add(new RecordStore.ReadResult.Page(List.of(), 2, true));
        store.changes.add(new RecordStore.ReadResult.Page(List.of(), 3, false));
        NodeServices services = services(store);
        TableReader tables = new TableReader(services, () -> false, () -> {});
        JobFeed feed = new JobFeed(services, tables, new Fleet(1, log, loop).jobs(), 1, new FakeLeader());
        feed.readAll(StoredProgress.NONE, feed::follow);
        loop.advance(Duration.ofSeconds(1));
        assertThat(store.followsSentNanos).hasSize(3);
        assertThat(confirmationsNanos).containsExactly(store.followsSentNanos.get(1));
    }

    /**
     * Guards against a replaced leader that starts a job accepted after its successor's claim, because the page with the job
     * lacks the leader record, which has changed again since.
     */
    @Test
    void jobOfATruncatedPageIsNotAddedByAReplacedLeader() {
        NodeServices services = services(store);
        TableReader tables = new TableReader(services, () -> false, () -> {});
        JobTracker jobs = new Fleet(1, log, loop).jobs();
        JobFeed feed = new JobFeed(services, tables, jobs, 1, new FakeLeader());
        feed.readAll(StoredProgress.NONE, () -> {
            byte[] job = RecordCodec.encodeOpenJob(JobDefinitions.tasks(JOB, 1, 1_000));
            store.changes.add(new RecordStore.ReadResult.Page(
                    List.of(new RecordStore.Entry(RecordStore.Table.JOBS, JOB, job, 3, false)), 3, true));
            LeaderRecord successor = new LeaderRecord(2, "other", "10.0.1.8:1", 1, false, List.of());
            store.records = List.of(new RecordStore.Entry(
                    RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(successor), 4, false));
            feed.follow();
        });
        loop.advance(Duration.ofSeconds(1));
        assertThat(jobs.state(JOB)).isEmpty();
    }

    /** Guards against a cancellation that waits for the timeouts of connections which have gone silent. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4})
    void cancellationIsReadInTimeAlthoughConnectionsAreSilent(int silentConnections) {
        FollowedTable table = new FollowedTable();
        table.link.silenceConnections(silentConnections);
        while (table.link.silentConnections() == silentConnections) {
            loop.advance(STEP);
        }
        table.storeCancellation();
        assertThat(table.timeUntilCancelled()).isLessThan(CANCELLATION_READ_BOUND);
    }

    /** Guards against a cancellation that waits for silent connections while the whole table is read again. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void cancellationIsReadInTimeAlthoughTheStoreHasDroppedItsHistory(int silentConnections) {
        FollowedTable table = new FollowedTable();
        table.link.loseHistory();
        table.storeCancellation();
        table.link.silenceConnections(silentConnections);
        assertThat(table.timeUntilCancelled()).isLessThan(CANCELLATION_READ_BOUND);
    }

    /** Guards against a feed that stops after an outage, or resumes late because its delay between attempts has grown. */
    @Test
    void cancellationIsReadSoonAfterAnOutage() {
        FollowedTable table = new FollowedTable();
        table.store.setAvailability(SimulatedStore.Availability.REJECTING);
        loop.advance(Duration.ofSeconds(8));
        table.storeCancellation();
        table.store.setAvailability(SimulatedStore.Availability.AVAILABLE);
        assertThat(table.timeUntilCancelled()).isLessThan(FleetConstants.STORE_RETRY_DELAY.multipliedBy(2));
    }

    /** Feed of a leader that has read a table with one job. */
    private final class FollowedTable {

        private final SimulatedStore store = new SimulatedStore(loop, true);
        private final SimulatedStoreClient.Link link = new SimulatedStoreClient.Link(new Random(1), 500);
        private final JobTracker jobs = new Fleet(1, log, loop).jobs();

        FollowedTable() {
            store.apply(new RecordStore.Transaction(
                    List.of(),
                    List.of(new RecordStore.Write(
                            RecordStore.Table.JOBS,
                            JOB,
                            RecordCodec.encodeOpenJob(JobDefinitions.tasks(JOB, 1, 1_000))))));
            NodeServices services = services(new SimulatedStoreClient(loop, loop, store, link));
            TableReader tables = new TableReader(services, () -> false, () -> {});
            JobFeed feed = new JobFeed(services, tables, jobs, Long.MAX_VALUE, new FakeLeader());
            feed.readAll(StoredProgress.NONE, feed::follow);
            loop.advance(Duration.ofSeconds(3));
            assertThat(jobs.state(JOB)).contains(JobState.QUEUED);
        }

        void storeCancellation() {
            store.apply(new RecordStore.Transaction(
                    List.of(),
                    List.of(new RecordStore.Write(RecordStore.Table.JOBS, StoredJob.cancelKey(JOB), new byte[] {1}))));
        }

        Duration timeUntilCancelled() {
            long startNanos = loop.nowNanos();
            while (!jobs.state(JOB).equals(Optional.of(JobState.CANCELLED))) {
                loop.advance(STEP);
            }
            return Duration.ofNanos(loop.nowNanos() - startNanos);
        }
    }
}
