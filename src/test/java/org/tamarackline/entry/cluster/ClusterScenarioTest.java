package org.tamarackline.entry.cluster;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.membership.MembershipStatus;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against slow takeovers after a crash, and against nodes that stop serving although relayed heartbeats or
 * outage evidence let them continue. Each scenario runs on a simulated cluster of three nodes.
 */
class ClusterScenarioTest {

    private static final int STEPS_PER_SECOND = (int) (1_000 / SimulatedCluster.STEP_MS);

    private final SimulatedCluster cluster = new SimulatedCluster(3, 1, Mutation.NONE, 1);

    @BeforeEach
    void startCluster() {
        runSeconds(20);
        assertThat(cluster.unownedShards()).isEmpty();
        assertThat(membershipStatuses()).containsOnly(MembershipStatus.CONFIRMED);
    }

    private void runSeconds(int seconds) {
        cluster.run(seconds * STEPS_PER_SECOND);
    }

    private List<MembershipStatus> membershipStatuses() {
        return cluster.processes().stream()
                .map(node -> node.clusterNode.membershipStatus())
                .toList();
    }

    private SimulatedNode node(int number) {
        return cluster.process(number).orElseThrow();
    }

    @Test
    void shardsOfACrashedNodeAreTakenOverWithinEightSeconds() {
        cluster.crash(0);
        assertThat(cluster.unownedShards()).isNotEmpty();
        runSeconds(8);
        assertThat(cluster.unownedShards()).isEmpty();
    }

    @Test
    void heartbeatsOfANodeWithoutPlatformAccessAreRelayed() {
        node(0).platformUnreachable = true;
        runSeconds(30);
        assertThat(membershipStatuses()).containsOnly(MembershipStatus.CONFIRMED);
        assertThat(cluster.unownedShards()).isEmpty();
    }

    @Test
    void nodeThatReachesNeitherPlatformNorPeersIsIsolatedAndRejoins() {
        node(0).platformUnreachable = true;
        node(0).peersUnreachable = true;
        runSeconds(4);
        assertThat(node(0).clusterNode.membershipStatus()).isEqualTo(MembershipStatus.ISOLATED);
        runSeconds(10);
        assertThat(cluster.unownedShards()).isEmpty();
        cluster.heal();
        runSeconds(10);
        assertThat(membershipStatuses()).containsOnly(MembershipStatus.CONFIRMED);
    }

    @Test
    void allNodesKeepTheirShardsInAnOutage() {
        List<Integer> ownedBefore = ownedCounts();
        cluster.setPlatformDown(true);
        runSeconds(30);
        assertThat(membershipStatuses()).containsOnly(MembershipStatus.OUTAGE);
        cluster.setPlatformDown(false);
        runSeconds(10);
        assertThat(membershipStatuses()).containsOnly(MembershipStatus.CONFIRMED);
        assertThat(ownedCounts()).isEqualTo(ownedBefore);
    }

    /** Guards against nodes that refuse requests at the begin of an outage because no ping came in time for evidence. */
    @Test
    void noNodeIsIsolatedInAnOutageWheneverHeartbeatsAndPingsAreDue() {
        for (int crashed = 0; crashed < 3; crashed++) {
            for (int pingPhase = 0; pingPhase < STEPS_PER_SECOND; pingPhase++) {
                for (int outagePhase = 0; outagePhase < STEPS_PER_SECOND; outagePhase++) {
                    assertNoNodeIsIsolatedInAnOutage(crashed, pingPhase, outagePhase);
                }
            }
        }
    }

    private static void assertNoNodeIsIsolatedInAnOutage(int crashed, int pingPhase, int outagePhase) {
        SimulatedCluster pair = new SimulatedCluster(3, 1, Mutation.NONE, 1, pingPhase * SimulatedCluster.STEP_MS);
        pair.run(20 * STEPS_PER_SECOND);
        pair.crash(crashed);
        pair.run(20 * STEPS_PER_SECOND + outagePhase);
        pair.setPlatformDown(true);
        for (int step = 0; step < 12 * STEPS_PER_SECOND; step++) {
            pair.run(1);
            assertThat(pair.processes())
                    .as(
                            "node %d crashed, ping phase %d, outage phase %d, step %d",
                            crashed, pingPhase, outagePhase, step)
                    .extracting(node -> node.clusterNode.membershipStatus())
                    .doesNotContain(MembershipStatus.ISOLATED);
        }
    }

    private List<Integer> ownedCounts() {
        return cluster.processes().stream()
                .map(node -> node.clusterNode.ownedShards().size())
                .toList();
    }

    @Test
    void nodeThatStartsInAnOutageLearnsFromItsPeersAndOwnsNothing() {
        cluster.changeConfiguration(node(1), 0);
        cluster.setPlatformDown(true);
        cluster.crash(0);
        runSeconds(5);
        cluster.restart(0);
        runSeconds(5);
        assertThat(node(0).clusterNode.membershipStatus()).isEqualTo(MembershipStatus.OUTAGE);
        assertThat(node(0).configurationReplica.version()).isEqualTo(1);
        assertThat(node(0).clusterNode.peers()).hasSize(2);
        assertThat(node(0).clusterNode.ownedShards()).isEmpty();
    }

    @Test
    void nodesAreIsolatedAfterTheOutageGrace() {
        cluster.setPlatformDown(true);
        runSeconds(42);
        assertThat(membershipStatuses()).containsOnly(MembershipStatus.ISOLATED);
    }

    @Test
    void twoNodesThatFailTogetherAreTakenOverAfterAnOperatorConfirmsThem() throws Exception {
        SimulatedNode first = node(0);
        SimulatedNode second = node(1);
        cluster.crash(0);
        cluster.crash(1);
        runSeconds(20);
        assertThat(cluster.unownedShards()).isNotEmpty();
        assertThat(node(2).clusterNode.confirmStopped(first.id)).isTrue();
        assertThat(node(2).clusterNode.confirmStopped(second.id)).isTrue();
        runSeconds(8);
        assertThat(cluster.unownedShards()).isEmpty();
    }

    @Test
    void rowOfANodeThatIsGoneIsDeleted() throws Exception {
        cluster.crash(0);
        runSeconds(20);
        assertThat(cluster.platform().scan("region/north/node/", "", 500)).hasSize(3);
        runSeconds(60);
        assertThat(cluster.platform().scan("region/north/node/", "", 500)).hasSize(2);
    }
}
