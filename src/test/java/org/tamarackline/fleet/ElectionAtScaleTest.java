package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which node of many unequal ones leads, and that the store's outages and the number of nodes do not matter. */
class ElectionAtScaleTest {

    private static final NodeCapacity LARGE = new NodeCapacity(1_500, 682, 8_192);
    private static final NodeCapacity SMALL = new NodeCapacity(60, 330, 4_100);

    private final ElectionCluster cluster = new ElectionCluster();

    /** Guards against a leader that is replaced for an outage of the store that affects all nodes. */
    @Test
    void outageOfTheStoreForAllNodesReplacesNoLeader() {
        ElectionCluster.Node first = startNodes(5, LARGE).getFirst();
        cluster.store().setRejecting(true);
        cluster.loop().advance(Duration.ofSeconds(6));
        cluster.store().setRejecting(false);
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
        assertThat(cluster.leading()).containsExactly(first);
        assertThat(cluster.eventCount("leader-kept")).isPositive();
    }

    /** Guards against a leader that keeps its runners only until its own lease ends, because nobody replaces it. */
    @Test
    void leaderThatTheStoreRefusesIsReplacedBeforeItsLeaseEnds() {
        ElectionCluster.Node first = startNodes(5, LARGE).getFirst();
        first.store().setRefused(true);
        cluster.loop().advance(FleetConstants.LEADERSHIP_LEASE);
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
        assertThat(cluster.leading()).hasSize(1).doesNotContain(first);
    }

    /** Guards against successors that the store refuses too, and that keep the others from replacing the leader. */
    @Test
    void leaderIsReplacedIfTheStoreRefusesItsFirstSuccessorsToo() {
        List<ElectionCluster.Node> nodes = startNodes(6, LARGE);
        nodes.subList(0, 4).forEach(node -> node.store().setRefused(true));
        cluster.loop().advance(FleetConstants.LEADERSHIP_LEASE.plusSeconds(2));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(nodes.subList(4, 6)).containsAll(cluster.leading());
    }

    /** Guards against a successor that is first by its name, but cannot poll all runners in time. */
    @Test
    void strongestNodeSucceeds() {
        ElectionCluster.Node first = cluster.start("node-9", LARGE);
        cluster.loop().advance(Duration.ofSeconds(1));
        startNodes(8, SMALL);
        ElectionCluster.Node strongest = cluster.start("node-8", LARGE);
        cluster.loop().advance(Duration.ofSeconds(5));
        cluster.kill(first);
        cluster.loop().advance(Duration.ofSeconds(6));
        assertThat(cluster.leading()).containsExactly(strongest);
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
    }

    /** Guards against a leader without the capacity for its runners that leads on beside a node that has it. */
    @Test
    void leaderWithoutCapacityHandsOverAndRenewsLeasesUntilThen() {
        cluster.write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask("j")));
        ElectionCluster.Node small = cluster.start("node-0", SMALL);
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(small.leads()).isTrue();
        ElectionCluster.Node large = cluster.start("node-1", LARGE);
        cluster.loop().advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).containsExactly(large);
        assertThat(cluster.leaderEpochs()).containsExactly(1L, 2L);
        assertThat(cluster.eventCount("leader-yields")).isEqualTo(1);
        assertThat(cluster.runner().longestRenewalInterval(0)).isLessThan(Duration.ofMillis(1_500));
    }

    /** Guards against a handover between nodes that are equally short of capacity. */
    @Test
    void leaderWithoutCapacityLeadsOnIfNoNodeHasMore() {
        startNodes(5, SMALL);
        cluster.loop().advance(Duration.ofSeconds(20));
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
    }

    /** Guards against a fleet without a leader, because the node in whose favour the leader resigned ends then. */
    @Test
    void leaderLeadsAgainIfNoNodeSucceedsIt() {
        ElectionCluster.Node small = cluster.start("node-0", SMALL);
        cluster.loop().advance(Duration.ofSeconds(3));
        ElectionCluster.Node large = cluster.start("node-1", LARGE);
        for (int i = 0; i < 300 && cluster.eventCount("leader-yields") == 0; i++) {
            cluster.loop().advance(Duration.ofMillis(10));
        }
        cluster.kill(large);
        cluster.loop().advance(Duration.ofSeconds(6));
        assertThat(cluster.leading()).containsExactly(small);
        assertThat(small.epoch()).isEqualTo(2);
        cluster.start("node-2", LARGE);
        cluster.loop().advance(Duration.ofSeconds(20));
        assertThat(cluster.eventCount("leader-yields"))
                .as("handovers soon after one that failed")
                .isEqualTo(1);
    }

    /** Guards against nodes that leave the leadership to a successor which has ended. */
    @Test
    void otherNodeTakesOverIfTheSuccessorEnds() {
        cluster.write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask("j")));
        cluster.start("node-0", SMALL);
        cluster.loop().advance(Duration.ofSeconds(3));
        ElectionCluster.Node successor = cluster.start("node-1", LARGE);
        ElectionCluster.Node other = cluster.start("node-2", LARGE);
        for (int i = 0; i < 300 && !cluster.storedLeader().resigned(); i++) {
            cluster.loop().advance(Duration.ofMillis(10));
        }
        assertThat(cluster.storedLeader().successor()).isEqualTo("node-1");
        cluster.kill(successor);
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.leading()).containsExactly(other);
        assertThat(cluster.runner().longestRenewalInterval(0)).isLessThan(Duration.ofMillis(1_500));
    }

    /** Guards against a small node that leads a new fleet because it happened to ask the store first. */
    @Test
    void largeNodeIsTheFirstLeader() {
        cluster.start("node-0", SMALL);
        cluster.loop().advance(Duration.ofMillis(200));
        ElectionCluster.Node large = cluster.start("node-1", LARGE);
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.leading()).containsExactly(large);
        assertThat(cluster.leaderEpochs()).containsExactly(1L);
    }

    /** Guards against a leader that spends its processor time on the pings of many nodes: ten times as many add little. */
    @Test
    void pingsGrowFarSlowerThanTheNumberOfNodes() {
        assertThat(pingsOf(100)).isLessThan(3 * pingsOf(10));
    }

    private static long pingsOf(int nodes) {
        ElectionAtScaleTest fleet = new ElectionAtScaleTest();
        fleet.startNodes(nodes, LARGE);
        fleet.cluster.loop().advance(Duration.ofSeconds(30));
        long before = fleet.cluster.network().pingCount();
        fleet.cluster.loop().advance(Duration.ofSeconds(60));
        return fleet.cluster.network().pingCount() - before;
    }

    /** Guards against a storm of claims when the leader and the store fail together. */
    @Test
    void fewNodesClaimAfterAnOutageInWhichTheLeaderEnded() {
        ElectionCluster.Node first = startNodes(40, LARGE).getFirst();
        cluster.loop().advance(Duration.ofSeconds(20));
        cluster.store().setRejecting(true);
        cluster.kill(first);
        cluster.loop().advance(Duration.ofSeconds(5));
        cluster.store().setRejecting(false);
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(cluster.leading()).hasSize(1);
        assertThat(cluster.eventCount("takeover-failed")).isLessThanOrEqualTo(2);
    }

    /** Starts nodes one after the other, of which the first one leads if there is no leader yet. */
    private List<ElectionCluster.Node> startNodes(int count, NodeCapacity capacity) {
        List<ElectionCluster.Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(cluster.start("node-" + i, capacity));
            cluster.loop().advance(Duration.ofMillis(i == 0 ? 2_000 : 50));
        }
        cluster.loop().advance(Duration.ofSeconds(3));
        return nodes;
    }
}
