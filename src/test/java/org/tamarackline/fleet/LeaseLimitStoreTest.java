package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests by when a leader takes the leases of earlier leaders for expired. */
class LeaseLimitStoreTest {

    private static final Duration ROUND_TRIP = Duration.ofMillis(20);

    /** Lease that bridges the interval between two polls of a runner. */
    private static final Duration MIN_LEASE = Duration.ofSeconds(4);

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final NodeStore nodeStore = new NodeStore(store, loop);
    private final NodeServices services = new NodeServices(
            loop,
            nodeStore,
            new FakeRunnerCalls(loop),
            done -> done.accept(Optional.of(List.of())),
            InstantSource.system(),
            new DecisionLog(new LineSink(OutputStream.nullOutputStream()), InstantSource.system(), loop, "node"),
            FleetMetrics.NONE);

    /** Leader that may raise the limit, until it ends. */
    private final class FakeLeader implements LeaseLimitStore.Callbacks {

        private final LeaseLimit limit = new LeaseLimit(loop, store.clock());
        private boolean ended;
        private boolean raises = true;
        private boolean fenced;
        private int limitsKnown;

        FakeLeader start(long epoch, long leasesLimitedSinceEpoch) {
            LeaderRecord record = new LeaderRecord(epoch, "node", "10.0.0.9:1", 1, List.of(), leasesLimitedSinceEpoch);
            new LeaseLimitStore(services, limit, record, this).start();
            return this;
        }

        @Override
        public boolean ended() {
            return ended;
        }

        @Override
        public boolean leaseLimitMayBeRaised() {
            return raises;
        }

        @Override
        public int followerCount() {
            return 0;
        }

        @Override
        public void onLeaseLimitKnown() {
            limitsKnown++;
        }

        @Override
        public void onLeaseLimitFenced() {
            fenced = true;
            ended = true;
        }
    }

    /** Guards against a wait that ends with a limit which the earlier leader raised before it was fenced. */
    @Test
    void limitCountsOnlyOnceTheEarlierLeaderCannotRaiseIt() {
        FakeLeader first = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(3));
        FakeLeader second = new FakeLeader();
        second.raises = false;
        second.start(2, 1);
        for (int i = 0; i < 500 && second.limitsKnown == 0; i++) {
            assertThat(second.limit.earlierLeasesExpiredByNanos()).isEmpty();
            loop.advance(Duration.ofMillis(1));
        }
        long firstLimitMs = first.limit.storedMs();
        loop.advance(Duration.ofSeconds(1));
        assertThat(first.fenced).isTrue();
        assertThat(first.limit.storedMs()).isEqualTo(firstLimitMs);
        assertThat(second.limit.storedMs()).isEqualTo(firstLimitMs);
    }

    /** Guards against a wait that ends with its own leader's limit, which that leader has raised meanwhile. */
    @Test
    void raisedLimitDoesNotProlongTheWaitForEarlierLeaders() {
        FakeLeader first = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(3));
        first.ended = true;
        FakeLeader second = new FakeLeader().start(2, 1);
        loop.advance(ROUND_TRIP.multipliedBy(4));
        long expiredByNanos = second.limit.earlierLeasesExpiredByNanos().orElseThrow();
        loop.advance(Duration.ofSeconds(2));
        assertThat(second.limit.storedMs()).isGreaterThan(first.limit.storedMs());
        assertThat(second.limit.earlierLeasesExpiredByNanos().orElseThrow())
                .isCloseTo(expiredByNanos, Offset.offset(200_000_000L));
    }

    /** Guards against leases of all runners that end together, although the store executes the raises of their limit. */
    @Test
    void leasesArePermittedWhileTheAnswersToRaisesAreLost() {
        FakeLeader leader = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(3));
        nodeStore.setWrites(NodeStore.Writes.ANSWER_LOST);
        for (int i = 0; i < 200; i++) {
            loop.advance(Duration.ofMillis(100));
            assertThat(leader.limit.permittedLease()).as("after %d ms", 100 * i).isGreaterThan(MIN_LEASE);
        }
    }

    /** Guards against a successor that permits no leases because the answer that fences its predecessor is always lost. */
    @Test
    void leasesArePermittedSoonAlthoughTheAnswersOfTheStoreAreLost() {
        FakeLeader first = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(3));
        first.ended = true;
        nodeStore.setWrites(NodeStore.Writes.ANSWER_LOST);
        FakeLeader second = new FakeLeader().start(2, 1);
        loop.advance(Duration.ofSeconds(2));
        assertThat(second.limitsKnown).isOne();
        assertThat(second.limit.permittedLease()).isGreaterThan(MIN_LEASE);
    }

    /** Guards against a limit that goes back to an earlier one, because a read was answered late. */
    @Test
    void lateAnswerToAReadDoesNotLowerTheLimit() {
        FakeLeader leader = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(3));
        nodeStore.setNextWrites(3, NodeStore.Writes.LOST);
        long limitMs = 0;
        for (int i = 0; i < 300; i++) {
            loop.advance(Duration.ofMillis(10));
            assertThat(leader.limit.storedMs()).isGreaterThanOrEqualTo(limitMs);
            limitMs = leader.limit.storedMs();
        }
    }

    /** Guards against a limit that was stored before a leader of an earlier version, which stores none. */
    @Test
    void limitThatIsOlderThanALeaderWithoutOneIsUnknown() {
        FakeLeader first = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(3));
        first.ended = true;
        FakeLeader third = new FakeLeader();
        third.raises = false;
        third.start(3, 3);
        loop.advance(Duration.ofSeconds(1));
        assertThat(third.limitsKnown).isOne();
        assertThat(third.limit.earlierLeasesExpiredByNanos()).isEmpty();
        assertThat(third.limit.permitsLeases()).isFalse();
    }

    /** Guards against a leader that ends for good because of a record that no leader wrote. */
    @Test
    void recordWithAnImpossibleEpochIsReplaced() {
        LeaseLimitRecord odd = new LeaseLimitRecord(99_999_999_999L, 1, 0);
        store.transact(
                new RecordStore.Transaction(
                        List.of(),
                        List.of(new RecordStore.Write(
                                RecordStore.Table.LEASES, LeaseLimitRecord.KEY, RecordCodec.encodeLeaseLimit(odd)))),
                result -> {});
        loop.advance(ROUND_TRIP);
        FakeLeader first = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(1));
        assertThat(first.fenced).isFalse();
        assertThat(first.limit.earlierLeasesExpiredByNanos()).isEmpty();
        assertThat(first.limit.permitsLeases()).isTrue();
    }

    /** Guards against leases that expire because the response to one raise of the limit is lost. */
    @Test
    void limitIsRaisedAlthoughAResponseIsLost() {
        FakeLeader first = new FakeLeader().start(1, 1);
        loop.advance(Duration.ofSeconds(1));
        store.loseLeaseLimitResponses(1);
        for (int i = 0; i < 300; i++) {
            loop.advance(Duration.ofMillis(10));
            assertThat(first.limit.permittedLease()).isEqualTo(FleetConstants.RUNNER_LEASE);
        }
    }

    /** Guards against a wait for the timeout of the write that fences earlier leaders. */
    @ParameterizedTest
    @EnumSource(names = {"LOST", "ANSWER_LOST", "LATE"})
    void earlierLeadersAreFencedSoonAlthoughTheFirstWriteIsNotAnswered(NodeStore.Writes writes) {
        nodeStore.setNextWrites(1, writes);
        assertThatEarlierLeadersAreFencedSoon();
    }

    /** Guards against repetitions on connections that have gone silent too. */
    @Test
    void earlierLeadersAreFencedSoonAlthoughOpenConnectionsAreSilent() {
        nodeStore.setOpenConnectionsSilentForWrites();
        assertThatEarlierLeadersAreFencedSoon();
    }

    private void assertThatEarlierLeadersAreFencedSoon() {
        FakeLeader first = new FakeLeader().start(1, 1);
        loop.advance(HedgedRead.ATTEMPT_TIMEOUT.plus(ROUND_TRIP.multipliedBy(3)));
        assertThat(first.limitsKnown).isOne();
        loop.advance(Duration.ofSeconds(6));
        assertThat(first.limitsKnown).isOne();
        assertThat(first.fenced).isFalse();
    }
}
