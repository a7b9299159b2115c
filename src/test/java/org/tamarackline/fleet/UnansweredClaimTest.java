package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests claims and resignations that the store leaves without an answer, executes late or loses. */
class UnansweredClaimTest {

    /** Longest time without a leader that starts and stops tasks. */
    private static final Duration MAX_TIME_TO_SUCCESSOR = Duration.ofSeconds(4);

    /** Time in which a claim or a resignation has effect although its first attempt has no answer. */
    private static final Duration MAX_TIME_WITH_REPETITION = Duration.ofMillis(600);

    private static final Duration STEP = Duration.ofMillis(10);

    private final ElectionCluster cluster = new ElectionCluster();

    /** Guards against a successor that waits for the timeout of its first claim and reads the record only then. */
    @ParameterizedTest
    @EnumSource(names = {"LOST", "ANSWER_LOST", "LATE"})
    void killedLeaderIsSucceededInTimeAlthoughTheFirstClaimIsNotAnswered(NodeStore.Writes writes) {
        assertThatKilledLeaderIsSucceededInTime(node -> node.store().setNextWrites(1, writes));
    }

    /** Guards against claims that are repeated on connections which have gone silent too. */
    @Test
    void killedLeaderIsSucceededInTimeAlthoughConnectionsAreSilent() {
        assertThatKilledLeaderIsSucceededInTime(node -> node.store().setOpenConnectionsSilentForWrites());
    }

    /** Guards against a wait for the timeout of the first claim of all. */
    @ParameterizedTest
    @EnumSource(names = {"LOST", "ANSWER_LOST", "LATE"})
    void firstLeaderLeadsInTimeAlthoughItsClaimIsNotAnswered(NodeStore.Writes writes) {
        ElectionCluster.Node node = cluster.start("node-0");
        node.store().setNextWrites(1, writes);
        cluster.loop().advance(MAX_TIME_WITH_REPETITION);
        assertThat(node.leads()).isTrue();
        cluster.loop().advance(Duration.ofSeconds(8));
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
    }

    /** Guards against a late answer to a claim that makes a node lead again that has stopped or is told to step down. */
    @Test
    void lateAnswerToARepeatedClaimStartsNoSecondLeader() {
        cluster.store().delayNextResponse(Duration.ofMillis(700));
        ElectionCluster.Node node = cluster.start("node-0");
        cluster.loop().advance(MAX_TIME_WITH_REPETITION);
        assertThat(node.leads()).isTrue();
        node.election().stepDown(2);
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
    }

    /** Guards against a node that claims on after it was told to stop. */
    @Test
    void stoppedNodeDoesNotRepeatItsClaim() {
        ElectionCluster.Node node = cluster.start("node-0");
        node.store().setNextWrites(1, NodeStore.Writes.LOST);
        cluster.loop().advance(Duration.ofMillis(200));
        node.election().resign(() -> {});
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.store().table(RecordStore.Table.JOBS)).doesNotContainKey(LeaderRecord.KEY);
        assertThat(cluster.leaderEpochs()).isEmpty();
    }

    /** Guards against a node that leads beside another one whose claim the store executed before its own. */
    @ParameterizedTest
    @EnumSource(names = {"LOST", "LATE"})
    void claimThatAnotherNodeOvertakesIsGivenUp(NodeStore.Writes writes) {
        ElectionCluster.Node first = startNodes();
        cluster.kill(first);
        cluster.running().forEach(node -> node.store().setNextWrites(1, writes));
        cluster.loop().advance(Duration.ofSeconds(12));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
    }

    /** Guards against a leader that waits for the timeout of its resignation before it sends it again. */
    @ParameterizedTest
    @EnumSource(names = {"LOST", "ANSWER_LOST", "LATE"})
    void resignationTakesEffectSoonAlthoughTheFirstAttemptIsNotAnswered(NodeStore.Writes writes) {
        assertThatResignationTakesEffectSoon(node -> node.store().setNextWrites(1, writes));
    }

    /** Guards against resignations that are repeated on connections which have gone silent too. */
    @Test
    void resignationTakesEffectSoonAlthoughConnectionsAreSilent() {
        assertThatResignationTakesEffectSoon(node -> node.store().setOpenConnectionsSilentForWrites());
    }

    private void assertThatResignationTakesEffectSoon(Consumer<ElectionCluster.Node> fault) {
        ElectionCluster.Node first = startNodes();
        AtomicInteger handedOver = new AtomicInteger();
        fault.accept(first);
        first.election().resign(handedOver::incrementAndGet);
        cluster.loop().advance(MAX_TIME_WITH_REPETITION);
        assertThat(handedOver).hasValue(1);
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(handedOver).hasValue(1);
        // If the answer is lost, the successor may have taken over before the resignation is known to be stored.
        assertThat(cluster.eventCount("leader-resigned")).isLessThanOrEqualTo(1);
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
    }

    private static void assertThatKilledLeaderIsSucceededInTime(Consumer<ElectionCluster.Node> fault) {
        // When the followers ping the leader depends on the time at which it ends.
        for (int endsAfterMs = 0; endsAfterMs < 1_000; endsAfterMs += 100) {
            Duration endsAfter = Duration.ofMillis(endsAfterMs);
            Duration withoutFault = new UnansweredClaimTest().timeToSuccessor(node -> {}, endsAfter);
            Duration withFault = new UnansweredClaimTest().timeToSuccessor(fault, endsAfter);
            assertThat(withFault)
                    .as("leader ends after %s", endsAfter)
                    .isLessThanOrEqualTo(MAX_TIME_TO_SUCCESSOR)
                    .isLessThanOrEqualTo(withoutFault.plus(MAX_TIME_WITH_REPETITION));
        }
    }

    /** Returns the time from the end of the leader until another one starts tasks, and checks that no third one follows. */
    private Duration timeToSuccessor(Consumer<ElectionCluster.Node> fault, Duration endsAfter) {
        ElectionCluster.Node first = startNodes();
        cluster.loop().advance(endsAfter);
        cluster.running().stream().filter(node -> !node.equals(first)).forEach(fault);
        cluster.kill(first);
        Duration waited = Duration.ZERO;
        while (cluster.running().stream().noneMatch(ElectionCluster.Node::schedules)
                && waited.compareTo(Duration.ofSeconds(15)) < 0) {
            cluster.loop().advance(STEP);
            waited = waited.plus(STEP);
        }
        cluster.loop().advance(Duration.ofSeconds(12));
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
        assertThat(cluster.leading()).hasSize(1);
        return waited;
    }

    /** Starts three nodes and returns the first one, which leads. */
    private ElectionCluster.Node startNodes() {
        for (int i = 0; i < 3; i++) {
            cluster.start("node-" + i);
            cluster.loop().advance(Duration.ofSeconds(1));
        }
        cluster.loop().advance(Duration.ofSeconds(5));
        List<ElectionCluster.Node> leading = cluster.leading();
        assertThat(leading).hasSize(1);
        return leading.getFirst();
    }
}
