package org.tamarackline.fleet;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ElectionTest {

    /** A hold waits for 1 s at most before the next one is sent. */
    private static final Duration MAX_RENEWAL_PAUSE = Duration.ofMillis(1_500);

    /** Guards against nodes that succeed each other while the claim of one is in progress. */
    @Test
    void oneNodeSucceedsOnASlowStore() {
        // Which node asks the claiming one, and when, depends on the moment at which the leader ends.
        for (int leaderEndsMs = 5_000; leaderEndsMs < 6_600; leaderEndsMs += 100) {
            ElectionNodes nodes = new ElectionNodes();
            ElectionNodes.Node first = nodes.start("node-0");
            nodes.loop().advance(Duration.ofSeconds(1));
            for (int i = 1; i < 5; i++) {
                nodes.start("node-" + i);
            }
            nodes.loop().advance(Duration.ofMillis(leaderEndsMs));
            assertThat(nodes.leading()).containsExactly(first);
            nodes.store().setTransactionLatency(Duration.ofMillis(500));
            nodes.kill(first);
            nodes.loop().advance(Duration.ofSeconds(20));
            assertThat(nodes.epochsThatLed())
                    .as("leader ends after %d ms", leaderEndsMs)
                    .containsExactly(1L, 2L);
            assertThat(nodes.leading()).hasSize(1);
        }
    }

    /** Guards against a second claim by the node that holds the record already. */
    @Test
    void claimWhoseResponseIsLostIsNotRepeated() {
        ElectionNodes nodes = new ElectionNodes();
        nodes.store().loseResponses(1);
        ElectionNodes.Node node = nodes.start("node-0");
        nodes.loop().advance(Duration.ofSeconds(10));
        assertThat(node.leads()).isTrue();
        assertThat(nodes.epochsThatLed()).containsExactly(1L);
    }

    /** Guards against a new process that takes the record of an earlier one for its own. */
    @Test
    void restartedNodeLeadsWithAnotherEpoch() {
        ElectionNodes nodes = new ElectionNodes();
        ElectionNodes.Node before = nodes.start("node-1");
        nodes.loop().advance(Duration.ofSeconds(5));
        assertThat(before.epoch()).isEqualTo(1);
        nodes.kill(before);
        ElectionNodes.Node after = nodes.start("node-1");
        nodes.loop().advance(Duration.ofSeconds(5));
        assertThat(after.epoch()).isEqualTo(2);
    }

    /** Guards against a leader that ends its leases before it has a successor, and that gives up its resignation. */
    @Test
    void leaderThatIsToldToStopRenewsLeasesUntilItHasASuccessor() {
        ElectionNodes nodes = new ElectionNodes();
        ElectionNodes.Node first = startWithLastingTask(nodes);
        ElectionNodes.Node second = nodes.start("node-1");
        nodes.loop().advance(Duration.ofSeconds(3));
        nodes.store().setRefusing(true);
        long toldNanos = nodes.loop().nowNanos();
        AtomicBoolean handedOver = new AtomicBoolean();
        first.election().resign(() -> handedOver.set(true));
        nodes.loop().schedule(Duration.ofSeconds(4), () -> nodes.store().setRefusing(false));
        boolean resigned = false;
        for (int i = 0; i < 800; i++) {
            nodes.loop().advance(Duration.ofMillis(10));
            resigned |= nodes.storedLeader().resigned();
        }
        assertThat(resigned).isTrue();
        assertThat(handedOver).isTrue();
        assertThat(nodes.leading()).containsExactly(second);
        assertThat(longestPauseOfRenewals(nodes, toldNanos)).isLessThan(MAX_RENEWAL_PAUSE);
    }

    /** Guards against orders of a leader that a successor may already replace, and against leases that it lets end. */
    @Test
    void leaderWithStoredResignationOnlyRenewsLeases() {
        ElectionNodes nodes = new ElectionNodes();
        ElectionNodes.Node node = startWithLastingTask(nodes);
        node.election().resign(() -> {});
        nodes.loop().advance(Duration.ofMillis(100));
        assertThat(nodes.storedLeader().resigned()).isTrue();
        long resignedNanos = nodes.loop().nowNanos();
        nodes.write(RecordStore.Table.JOBS, "k", RecordCodec.openJob(JobDefinitions.lastingTask("k")));
        nodes.loop().advance(Duration.ofSeconds(5));
        assertThat(nodes.runner().runs()).isEqualTo(1);
        assertThat(longestPauseOfRenewals(nodes, resignedNanos)).isLessThan(MAX_RENEWAL_PAUSE);
    }

    /** Guards against a leader that takes its own resignation for the record of a successor. */
    @Test
    void resignationWhoseResponseIsLostEndsNoLease() {
        ElectionNodes nodes = new ElectionNodes();
        ElectionNodes.Node node = startWithLastingTask(nodes);
        long toldNanos = nodes.loop().nowNanos();
        AtomicBoolean handedOver = new AtomicBoolean();
        nodes.store().loseResponses(1);
        node.election().resign(() -> handedOver.set(true));
        nodes.loop().advance(Duration.ofSeconds(5));
        assertThat(nodes.storedLeader().resigned()).isTrue();
        assertThat(handedOver).isTrue();
        assertThat(longestPauseOfRenewals(nodes, toldNanos)).isLessThan(MAX_RENEWAL_PAUSE);
    }

    private static ElectionNodes.Node startWithLastingTask(ElectionNodes nodes) {
        nodes.write(RecordStore.Table.JOBS, "j", RecordCodec.openJob(JobDefinitions.lastingTask("j")));
        ElectionNodes.Node node = nodes.start("node-0");
        nodes.loop().advance(Duration.ofSeconds(3));
        assertThat(nodes.runner().runs()).isEqualTo(1);
        return node;
    }

    /** Returns the longest time without a renewal of epoch 1, up to the first hold of a higher epoch or until now. */
    private static Duration longestPauseOfRenewals(ElectionNodes nodes, long fromNanos) {
        long renewedNanos = fromNanos;
        long longestNanos = 0;
        for (FakeRunner.Poll poll : nodes.runner().polls()) {
            if (poll.atNanos() >= fromNanos && (poll.renewsLease() || poll.epoch() > 1)) {
                longestNanos = Math.max(longestNanos, poll.atNanos() - renewedNanos);
                renewedNanos = poll.atNanos();
            }
            if (poll.epoch() > 1) {
                return Duration.ofNanos(longestNanos);
            }
        }
        return Duration.ofNanos(Math.max(longestNanos, nodes.loop().nowNanos() - renewedNanos));
    }
}
