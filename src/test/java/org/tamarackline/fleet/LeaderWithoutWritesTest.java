package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests who leads if the store answers the reads of nodes but not their transactions. */
class LeaderWithoutWritesTest {

    private static final NodeCapacity LARGE = new NodeCapacity(1_500, 682, 8_192);
    private static final NodeCapacity SMALL = new NodeCapacity(60, 330, 4_100);

    /** Time until the leases of all runners end that a leader has granted. */
    private static final Duration MAX_TIME_TO_TAKEOVER = FleetConstants.LEASE_LIMIT;

    private static final Duration STEP = Duration.ofMillis(10);

    private final ElectionCluster cluster = new ElectionCluster();

    /** Guards against a leader that looks sound while the leases of all runners run out. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ANSWERED")
    void leaderWhoseTransactionsAreNotAnsweredIsReplacedBeforeLeasesEnd(NodeStore.Writes writes) {
        ElectionCluster.Node first = startNodes(5).getFirst();
        first.store().setWrites(writes);
        Duration takeover = timeUntilAnotherSchedules(first);
        assertThat(takeover).isLessThan(MAX_TIME_TO_TAKEOVER);
        cluster.loop().advance(Duration.ofSeconds(15));
        assertThat(cluster.storedLeader().epoch()).isEqualTo(2);
    }

    /** Guards against successors that cannot write either and keep the others from taking over. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ANSWERED")
    void leaderIsReplacedBeforeLeasesEndIfItsFirstSuccessorsCannotWriteEither(NodeStore.Writes writes) {
        List<ElectionCluster.Node> nodes = startNodes(6);
        nodes.subList(0, 4).forEach(node -> node.store().setWrites(writes));
        Duration takeover = timeUntilAnotherSchedules(nodes.getFirst());
        assertThat(takeover).isLessThan(MAX_TIME_TO_TAKEOVER);
        assertThat(nodes.subList(4, 6)).containsAll(cluster.leading());
    }

    /** Guards against leaders that replace each other without gain. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ANSWERED")
    void leaderIsKeptWhileTheStoreAnswersTheTransactionsOfNoNode(NodeStore.Writes writes) {
        List<ElectionCluster.Node> nodes = startNodes(5);
        nodes.forEach(node -> node.store().setWrites(writes));
        cluster.loop().advance(Duration.ofSeconds(9));
        nodes.forEach(node -> node.store().setWrites(NodeStore.Writes.ANSWERED));
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
        assertThat(nodes.getFirst().schedules()).isTrue();
        assertThat(cluster.eventCount("leader-kept")).isPositive();
    }

    /** Guards against a leader that is replaced after a short time in which its transactions failed. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "ANSWERED")
    void leaderIsKeptIfItsTransactionsAreAnsweredAgainSoon(NodeStore.Writes writes) {
        ElectionCluster.Node first = startNodes(5).getFirst();
        first.store().setWrites(writes);
        cluster.loop().advance(Duration.ofSeconds(2));
        first.store().setWrites(NodeStore.Writes.ANSWERED);
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
    }

    /** Guards against a leader that is replaced because its next transaction comes later than the end of an outage. */
    @Test
    void leaderIsKeptIfItsTransactionsAreAnsweredSoonAfterAnOutageForAllNodes() {
        List<ElectionCluster.Node> nodes = startNodes(5);
        NodeStore storeOfLeader = nodes.getFirst().store();
        nodes.forEach(this::readNowAndThen);
        nodes.forEach(node -> node.store().setRefused(true));
        cluster.loop().advance(Duration.ofMillis(3_500));
        storeOfLeader.setWrites(NodeStore.Writes.LOST);
        nodes.forEach(node -> node.store().setRefused(false));
        cluster.loop().advance(Duration.ofMillis(700));
        storeOfLeader.setWrites(NodeStore.Writes.ANSWERED);
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
    }

    /** Guards against followers whose rare failures keep a leader that cannot write until the leases of all runners end. */
    @Test
    void leaderWithoutWritesIsReplacedAlthoughFollowersHaveRareFailures() {
        List<ElectionCluster.Node> nodes = startNodes(5);
        nodes.subList(1, 5).forEach(this::failNowAndThen);
        nodes.getFirst().store().setWrites(NodeStore.Writes.REFUSED);
        assertThat(timeUntilAnotherSchedules(nodes.getFirst())).isLessThan(MAX_TIME_TO_TAKEOVER);
    }

    /** Guards against a node whose claims have no answer and which replaces a leader that has answered again long ago. */
    @Test
    void leaderThatAnswersAgainIsKeptAfterClaimsWithoutAnAnswer() {
        List<ElectionCluster.Node> nodes = startNodes(3);
        ElectionCluster.Node first = nodes.getFirst();
        nodes.subList(1, 3).forEach(node -> node.store().setWrites(NodeStore.Writes.LOST));
        first.loop().suspend();
        cluster.loop().advance(Duration.ofSeconds(3));
        first.loop().resume();
        cluster.loop().advance(Duration.ofSeconds(20));
        nodes.get(1).store().setWrites(NodeStore.Writes.ANSWERED);
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
    }

    /** Guards against nodes that wait for the claim of a restarted leader whose transactions fail. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"REFUSED", "REFUSED_AS_TOO_MANY", "LOST"})
    void restartedLeaderThatCannotWriteIsReplacedBeforeLeasesEnd(NodeStore.Writes writes) {
        ElectionCluster.Node first = startNodes(5).getFirst();
        cluster.kill(first);
        ElectionCluster.Node restarted = cluster.start("node-0", LARGE);
        restarted.store().setWrites(writes);
        assertThat(timeUntilAnotherSchedules(restarted)).isLessThan(FleetConstants.RUNNER_LEASE);
    }

    /** Guards against a resignation in favour of a node that cannot claim the leadership. */
    @Test
    void leaderWithoutCapacityHandsOverToANodeWhoseTransactionsAreAnswered() {
        ElectionCluster.Node refused = cluster.start("node-1", LARGE);
        refused.store().setWrites(NodeStore.Writes.REFUSED);
        writeNowAndThen(refused);
        ElectionCluster.Node small = cluster.start("node-0", SMALL);
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.leading()).containsExactly(small);
        assertThat(cluster.eventCount("leader-yields")).isZero();
        ElectionCluster.Node other = cluster.start("node-2", LARGE);
        cluster.loop().advance(Duration.ofSeconds(2));
        assertThat(cluster.leading()).containsExactly(other);
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
    }

    /** Lets a node store something of callers again and again. */
    private void writeNowAndThen(ElectionCluster.Node node) {
        JobRequestHandler handler = cluster.requestHandler(node);
        cluster.loop().schedule(Duration.ofMillis(200), () -> {
            handler.cancel("j", outcome -> {});
            writeNowAndThen(node);
        });
    }

    /** Lets a node read from the store again and again, as each does that follows the configuration. */
    private void readNowAndThen(ElectionCluster.Node node) {
        cluster.loop().schedule(Duration.ofMillis(500), () -> {
            RecordStore store = new MonitoredStore(node.store(), node.storeContact());
            store.read(RecordStore.Table.CONFIGURATION, "", null, result -> {});
            readNowAndThen(node);
        });
    }

    /** Lets the store refuse a node for a short time every 2 s. */
    private void failNowAndThen(ElectionCluster.Node node) {
        cluster.loop().schedule(Duration.ofSeconds(2), () -> {
            node.store().setRefused(true);
            RecordStore store = new MonitoredStore(node.store(), node.storeContact());
            store.read(RecordStore.Table.CONFIGURATION, "", null, result -> {});
            cluster.loop().schedule(Duration.ofMillis(60), () -> node.store().setRefused(false));
            failNowAndThen(node);
        });
    }

    private List<ElectionCluster.Node> startNodes(int count) {
        List<ElectionCluster.Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(cluster.start("node-" + i, LARGE));
            cluster.loop().advance(Duration.ofMillis(300));
        }
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).containsExactly(nodes.getFirst());
        return nodes;
    }

    private Duration timeUntilAnotherSchedules(ElectionCluster.Node first) {
        Duration waited = Duration.ZERO;
        while (waited.compareTo(Duration.ofSeconds(25)) < 0
                && cluster.leading().stream()
                        .noneMatch(node -> !node.name().equals(first.name()) && node.schedules())) {
            cluster.loop().advance(STEP);
            waited = waited.plus(STEP);
        }
        return waited;
    }
}
