package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the change of leader after another writer has replaced the leader record by one that cannot be decoded. */
class UnreadableLeaderRecordTest {

    private static final byte[] GARBAGE = {(byte) 0xc1, 7, 7, 7};

    /** Leadership lease of an earlier leader, plus the longest runner lease. */
    private static final Duration FULL_WAIT = Duration.ofMillis(13_350);

    private final ElectionCluster cluster = new ElectionCluster();

    private void writeLeader(byte[] value) {
        cluster.write(RecordStore.Table.JOBS, LeaderRecord.KEY, value);
    }

    /** Guards against a fleet that never has a leader again. */
    @Test
    void oneNodeLeadsWithAHigherEpoch() {
        cluster.start("node-0");
        cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(3));
        writeLeader(GARBAGE);
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.leaderEpochs()).isSorted().doesNotHaveDuplicates().hasSizeGreaterThan(1);
        assertThat(cluster.leading().getFirst().epoch())
                .isEqualTo(cluster.leaderEpochs().getLast());
    }

    /**
     * Guards against an epoch that a replaced leader has used: its claims may be newer than anything else that it stored.
     */
    @Test
    void epochIsHigherThanThoseOfLeadersThatStoredNothingElse() {
        for (int i = 0; i < 20; i++) {
            ElectionCluster.Node node = cluster.start("node-" + i % 2);
            for (int j = 0; j < 1_000 && !node.leads(); j++) {
                cluster.loop().advance(Duration.ofMillis(10));
            }
            cluster.kill(node);
        }
        long highestEpoch = cluster.storedLeader().epoch();
        assertThat(highestEpoch).isEqualTo(20);
        writeLeader(GARBAGE);
        cluster.start("node-2");
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.storedLeader().epoch()).isGreaterThan(highestEpoch);
    }

    /** Guards against a short wait for a silent runner, to which leaders that are not known may still send commands. */
    @Test
    void waitForASilentRunnerIsFullWithoutALeaseLimit() {
        cluster.store().setWriteFilter(LeaseLimits::withoutLimit);
        cluster.write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask("j")));
        ElectionCluster.Node first = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(3));
        cluster.runner().stopResponding();
        first.loop().suspend();
        writeLeader(GARBAGE);
        ElectionCluster.Node second = cluster.start("node-1");
        for (int i = 0; i < 1_000 && !second.leads(); i++) {
            cluster.loop().advance(Duration.ofMillis(10));
        }
        assertThat(second.leads()).isTrue();
        Leader leader = second.election().leader().orElseThrow();
        cluster.loop().advance(FULL_WAIT.minusMillis(100));
        assertThat(leader.fleet().unreportedRunners()).isEqualTo(1);
        cluster.loop().advance(Duration.ofMillis(600));
        assertThat(leader.fleet().unreportedRunners()).isZero();
    }

    /** Guards against a removed record after which epochs begin at 1 again. */
    @Test
    void removedRecordIsNotTakenForAFleetWithoutAnEarlierLeader() {
        ElectionCluster.Node first = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(3));
        cluster.kill(first);
        long highestEpoch = cluster.storedLeader().epoch();
        writeLeader(null);
        cluster.start("node-1");
        cluster.start("node-2");
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.storedLeader().epoch()).isGreaterThan(highestEpoch);
        assertThat(cluster.storedLeader().possiblyActive()).hasSize(1);
    }

    /** Guards against epochs near the limit, and against a later record whose epoch is not the highest. */
    @Test
    void epochAboveTheVersionOfItsRecordIsNotUsed() {
        LeaderRecord odd = new LeaderRecord(99_999_999_999L, "node-9", "node-9:1", 1, false, List.of());
        writeLeader(RecordCodec.encodeLeader(odd));
        cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.storedLeader().epoch()).isLessThan(100);
    }

    /** Guards against two leaders of one epoch when several nodes find the record at the same time. */
    @Test
    void nodesThatFindTheRecordTogetherElectOne() {
        cluster.store().setLatency(Duration.ofMillis(300));
        writeLeader(GARBAGE);
        cluster.loop().advance(Duration.ofSeconds(1));
        for (int i = 0; i < 5; i++) {
            cluster.start("node-" + i);
        }
        cluster.loop().advance(Duration.ofSeconds(15));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.leaderEpochs()).isSorted().doesNotHaveDuplicates();
    }

    /** Guards against a claim whose lost response makes its node claim again with another epoch. */
    @Test
    void claimWhoseResponseIsLostIsNotRepeated() {
        writeLeader(GARBAGE);
        cluster.store().loseResponses(1);
        cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.leaderEpochs()).hasSize(1);
    }
}
