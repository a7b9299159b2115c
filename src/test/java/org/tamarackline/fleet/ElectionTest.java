package org.tamarackline.fleet;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that exactly one node succeeds a leader, and that a resigning leader keeps its tasks running until then. */
class ElectionTest {

    /** A poll waits for at most 1 s before the next one is sent. */
    private static final Duration MAX_RENEWAL_INTERVAL = Duration.ofMillis(1_500);

    /** Guards against nodes that replace each other while one of them has a claim in progress. */
    @Test
    void oneNodeSucceedsOnASlowStore() {
        // Which node pings the claiming one, and when, depends on the time at which the leader ends.
        for (int leaderEndsMs = 5_000; leaderEndsMs < 6_600; leaderEndsMs += 100) {
            ElectionCluster cluster = new ElectionCluster();
            ElectionCluster.Node first = cluster.start("node-0");
            cluster.loop().advance(Duration.ofSeconds(1));
            for (int i = 1; i < 5; i++) {
                cluster.start("node-" + i);
            }
            cluster.loop().advance(Duration.ofMillis(leaderEndsMs));
            assertThat(cluster.leading()).containsExactly(first);
            cluster.store().setTransactionLatency(Duration.ofMillis(500));
            cluster.kill(first);
            cluster.loop().advance(Duration.ofSeconds(20));
            assertThat(cluster.leaderEpochs())
                    .as("leader ends after %d ms", leaderEndsMs)
                    .containsExactly(1L, 2L);
            assertThat(cluster.leading()).hasSize(1);
        }
    }

    /** Guards against a takeover that waits for the timeout of each read whose connection has gone silent. */
    @Test
    void takeoverDoesNotWaitForSilentConnections() {
        ElectionCluster cluster = new ElectionCluster();
        ElectionCluster.Node first = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(1));
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(3));
        cluster.store().setOpenConnectionsSilent(true);
        cluster.kill(first);
        cluster.loop().advance(Duration.ofMillis(4_500));
        assertThat(second.election().leader())
                .hasValueSatisfying(leader -> assertThat(leader.loaded()).isTrue());
    }

    /** Guards against a second claim by a node whose first claim took effect. */
    @Test
    void claimWhoseResponseIsLostIsNotRepeated() {
        ElectionCluster cluster = new ElectionCluster();
        cluster.store().loseResponses(1);
        ElectionCluster.Node node = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(node.leads()).isTrue();
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
    }

    /** Guards against a new process that takes the record of an earlier process of its node for its own. */
    @Test
    void restartedNodeLeadsWithAnotherEpoch() {
        ElectionCluster cluster = new ElectionCluster();
        ElectionCluster.Node before = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(before.epoch()).isEqualTo(1);
        cluster.kill(before);
        ElectionCluster.Node after = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(after.epoch()).isEqualTo(2);
    }

    /** Guards against two nodes that replace each other again and again, because one of them reaches no other node. */
    @Test
    void isolatedNodeDoesNotReplaceALeaderThatOthersFollow() {
        ElectionCluster cluster = new ElectionCluster();
        ElectionCluster.Node isolated = cluster.start("node-0");
        cluster.start("node-1");
        cluster.start("node-2");
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.leading()).containsExactly(isolated);
        cluster.network().isolate(isolated.address());
        cluster.loop().advance(Duration.ofSeconds(9));
        assertThat(cluster.storedLeader().epoch()).isEqualTo(2);
        assertThat(cluster.leading()).doesNotContain(isolated).hasSize(1);
    }

    /**
     * Guards against a resigning leader that lets leases expire before it has a successor, and against one that stops
     * retrying its resignation.
     */
    @Test
    void resigningLeaderRenewsLeasesUntilItHasASuccessor() {
        ElectionCluster cluster = new ElectionCluster();
        ElectionCluster.Node first = startWithLongRunningTask(cluster);
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(3));
        cluster.store().setRejecting(true);
        long toldNanos = cluster.loop().nowNanos();
        AtomicBoolean handedOver = new AtomicBoolean();
        first.election().resign(() -> handedOver.set(true));
        cluster.loop().schedule(Duration.ofSeconds(4), () -> cluster.store().setRejecting(false));
        boolean resigned = false;
        for (int i = 0; i < 800; i++) {
            cluster.loop().advance(Duration.ofMillis(10));
            resigned |= cluster.storedLeader().resigned();
        }
        assertThat(resigned).isTrue();
        assertThat(handedOver).isTrue();
        assertThat(cluster.leading()).containsExactly(second);
        assertThat(cluster.runner().longestRenewalInterval(toldNanos)).isLessThan(MAX_RENEWAL_INTERVAL);
    }

    /**
     * Guards against a leader that sends commands although a successor may already have replaced it, and against one
     * that lets leases expire.
     */
    @Test
    void leaderWithStoredResignationOnlyRenewsLeases() {
        ElectionCluster cluster = new ElectionCluster();
        ElectionCluster.Node node = startWithLongRunningTask(cluster);
        node.election().resign(() -> {});
        cluster.loop().advance(Duration.ofMillis(100));
        assertThat(cluster.storedLeader().resigned()).isTrue();
        long resignedNanos = cluster.loop().nowNanos();
        cluster.write(RecordStore.Table.JOBS, "k", RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask("k")));
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.runner().activeRunCount()).isEqualTo(1);
        assertThat(cluster.runner().longestRenewalInterval(resignedNanos)).isLessThan(MAX_RENEWAL_INTERVAL);
    }

    /** Guards against a leader that takes its own resignation for the record of a successor. */
    @Test
    void resignationWhoseResponseIsLostEndsNoLease() {
        ElectionCluster cluster = new ElectionCluster();
        ElectionCluster.Node node = startWithLongRunningTask(cluster);
        long toldNanos = cluster.loop().nowNanos();
        AtomicBoolean handedOver = new AtomicBoolean();
        cluster.store().loseResponses(1);
        node.election().resign(() -> handedOver.set(true));
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.storedLeader().resigned()).isTrue();
        assertThat(handedOver).isTrue();
        assertThat(cluster.runner().longestRenewalInterval(toldNanos)).isLessThan(MAX_RENEWAL_INTERVAL);
    }

    private static ElectionCluster.Node startWithLongRunningTask(ElectionCluster cluster) {
        cluster.write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask("j")));
        ElectionCluster.Node node = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.runner().activeRunCount()).isEqualTo(1);
        return node;
    }
}
