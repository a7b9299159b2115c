package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what a leader concludes from reads of the job table. */
class JobFeedTest {

    private final ManualLoop loop = new ManualLoop();
    private final ScriptedStore store = new ScriptedStore();
    private final List<Long> confirmationsNanos = new ArrayList<>();

    /** Store that returns prepared pages of changes, one per read. */
    private final class ScriptedStore implements RecordStore {

        private final StoreClock clock = new StoreClock();
        private final List<ReadResult> changes = new ArrayList<>();
        private final List<Long> followsSentNanos = new ArrayList<>();

        @Override
        public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
            throw new AssertionError("a feed writes nothing");
        }

        @Override
        public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
            loop.execute(() -> callback.accept(new ReadResult.Page(List.of(), 1, false)));
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

        @Override
        public boolean leading() {
            return true;
        }

        @Override
        public boolean ended() {
            return false;
        }

        @Override
        public void onLeaderRecordChanged(RecordStore.Entry entry) {
            throw new AssertionError("the leader record does not change in this test");
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
        DecisionLog log =
                new DecisionLog(new LineSink(OutputStream.nullOutputStream()), InstantSource.system(), loop, "node");
        NodeServices services = new NodeServices(
                loop,
                store,
                new FakeRunnerCalls(loop),
                done -> done.accept(Optional.empty()),
                () -> null,
                log,
                FleetMetrics.NONE);
        TableReader tables = new TableReader(services, () -> false, () -> {});
        JobFeed feed = new JobFeed(services, tables, new Fleet(1, log, loop).jobs(), 1, new FakeLeader());
        feed.readAll(StoredProgress.NONE, feed::follow);
        loop.advance(Duration.ofSeconds(1));
        assertThat(store.followsSentNanos).hasSize(3);
        assertThat(confirmationsNanos).containsExactly(store.followsSentNanos.get(1));
    }
}
