package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests when a node considers the leader that it follows to have ended. */
class LeaderMonitorTest {

    private static final long RECORD_VERSION = 7;
    private static final Duration PING_TIMEOUT = Duration.ofMillis(700);
    /** Waits 0.7 s before it takes over. */
    private static final int LATER_RANK = 2;

    /** Waits 1.75 s before it takes over. */
    private static final int LAST_RANK = 5;

    private static final Duration DELAY = Duration.ofMillis(300);

    private final ManualLoop shared = new ManualLoop();
    private final SuspendableLoop loop = new SuspendableLoop(shared);
    private final Peers peers = new Peers();
    private LeaderMonitor monitor;
    private int recordReads;

    /** A leader that answers pings after 2 ms, or not at all. */
    private final class Peers implements PeerCalls {

        private int unansweredPings;
        private int rank;
        private long unansweredWritesMs;

        @Override
        public void ping(String address, PingRequest request, Consumer<PingResult> callback) {
            if (unansweredPings-- <= 0) {
                PingResponse response = new PingResponse(1, 0, 0, rank, unansweredWritesMs, false);
                loop.schedule(Duration.ofMillis(2), () -> callback.accept(response));
            } else {
                loop.schedule(PING_TIMEOUT, () -> callback.accept(new PingFailure("no response")));
            }
        }

        @Override
        public void stepDown(String address, long epoch, Consumer<Boolean> callback) {}

        @Override
        public void state(String address, String job, Consumer<StateResponse> callback) {}

        @Override
        public void submit(String address, String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {}

        @Override
        public void queuedJobCount(String address, String queue, Consumer<Optional<Integer>> callback) {}
    }

    /** Guards against a healthy leader that is replaced by a node which was itself too late to send or read the pings. */
    @Test
    void pingsMissedWhileThisNodeIsLateDoNotCount() {
        followAnsweringLeader(0);
        peers.unansweredPings = 2;
        for (int i = 0; i < 6; i++) {
            shared.advance(Duration.ofMillis(250));
            pause();
        }
        shared.advance(Duration.ofSeconds(3));
        assertThat(recordReads).isZero();
        assertThat(monitor.suspicion(RECORD_VERSION)).isEmpty();
    }

    /** Guards against a leader that has ended and is never replaced, because the other nodes are always late. */
    @Test
    void nodeThatIsAlwaysLateSuspectsALeaderThatHasEnded() {
        followAnsweringLeader(0);
        peers.unansweredPings = Integer.MAX_VALUE;
        for (int i = 0; i < 11; i++) {
            shared.advance(Duration.ofMillis(150));
            pause();
        }
        assertThat(recordReads).isPositive();
        assertThat(monitor.suspicion(RECORD_VERSION)).isPresent();
    }

    /** Guards against a replacement that takes longer than two pings on a node that is on time. */
    @Test
    void leaderThatHasEndedIsSuspectedAfterTwoPings() {
        followAnsweringLeader(0);
        peers.unansweredPings = Integer.MAX_VALUE;
        shared.advance(Duration.ofMillis(2_250));
        assertThat(monitor.suspicion(RECORD_VERSION)).isPresent();
    }

    /** Guards against a node that replaces a leader which has answered again before its turn to take over. */
    @Test
    void leaderThatAnswersBeforeTheTakeoverIsNotReplaced() {
        followAnsweringLeader(LATER_RANK);
        peers.unansweredPings = 2;
        shared.advance(Duration.ofSeconds(6));
        assertThat(recordReads).isZero();
        assertThat(monitor.suspicion(RECORD_VERSION)).isEmpty();
    }

    /** Guards against a node that replaces a leader which writes again before the turn of that node to take over. */
    @Test
    void leaderThatWritesAgainBeforeTheTakeoverIsNotReplaced() {
        followAnsweringLeader(LAST_RANK);
        peers.unansweredWritesMs = 3_000;
        shared.advance(Duration.ofMillis(2_500));
        peers.unansweredWritesMs = 0;
        shared.advance(Duration.ofSeconds(6));
        assertThat(recordReads).isZero();
        assertThat(monitor.suspicion(RECORD_VERSION)).isEmpty();
    }

    /** Guards against a leader that cannot write and is never suspected. */
    @Test
    void leaderThatCannotWriteIsSuspected() {
        followAnsweringLeader(LAST_RANK);
        peers.unansweredWritesMs = 3_000;
        shared.advance(Duration.ofSeconds(5));
        assertThat(monitor.suspicion(RECORD_VERSION)).isPresent();
    }

    private void pause() {
        loop.suspend();
        shared.advance(DELAY);
        loop.resume();
    }

    private void followAnsweringLeader(int rank) {
        peers.rank = rank;
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(shared.nowNanos() / 1_000_000);
        NodeServices services = new NodeServices(
                loop,
                new FakeRecordStore(shared),
                new FakeRunnerCalls(shared),
                done -> done.accept(Optional.of(List.of())),
                timeOfDay,
                new DecisionLog(new LineSink(OutputStream.nullOutputStream()), timeOfDay, loop, "node"),
                FleetMetrics.NONE);
        monitor = new LeaderMonitor(
                services,
                peers,
                new StoreContact(loop),
                new PeerCalls.PingRequest("node", NodeCapacity.UNKNOWN),
                rank,
                new Random(1),
                () -> recordReads++);
        monitor.follow(new LeaderRecord(1, "leader", "10.0.0.1:1", 1, false, List.of()), RECORD_VERSION);
        shared.advance(Duration.ofSeconds(1));
        assertThat(recordReads).isZero();
    }
}
