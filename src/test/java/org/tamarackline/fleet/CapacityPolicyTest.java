package org.tamarackline.fleet;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests when a leader hands over because of its capacity. */
class CapacityPolicyTest {

    private static final NodeCapacity SMALL = new NodeCapacity(207, 330, 4_100);
    private static final NodeCapacity MEDIUM = new NodeCapacity(300, 430, 4_100);
    private static final NodeCapacity LARGE = new NodeCapacity(1_500, 682, 8_192);

    private final ManualLoop loop = new ManualLoop();
    private final Successors successors = new Successors(loop);

    private CapacityPolicy leading(NodeCapacity capacity) {
        CapacityPolicy policy = new CapacityPolicy(loop, capacity);
        policy.onStartedToLead();
        loop.advance(Duration.ofSeconds(2));
        return policy;
    }

    private void ping(String node, NodeCapacity capacity) {
        successors.onPing(new PeerCalls.PingRequest(node, capacity));
    }

    @Test
    void nodeWithAFifthOfAProcessorHandsOverHundredsOfRunners() {
        CapacityPolicy policy = leading(SMALL);
        ping("large", LARGE);
        assertThat(policy.reasonToHandOver(245, successors))
                .hasValueSatisfying(reason -> assertThat(reason).contains("245 runners", "large"));
    }

    /** Guards against changes of leader on a fleet whose nodes all have what it needs. */
    @Test
    void nodeWithTheCapacityLeadsOn() {
        CapacityPolicy policy = leading(MEDIUM);
        ping("large", LARGE);
        assertThat(policy.reasonToHandOver(33, successors)).isEmpty();
    }

    /** Guards against a handover that gains little. */
    @Test
    void leaderLeadsOnBesideNodesThatHaveLittleMore() {
        CapacityPolicy policy = leading(SMALL);
        ping("medium", MEDIUM);
        assertThat(policy.reasonToHandOver(245, successors)).isEmpty();
    }

    /**
     * Guards against a series of leaders, each twice as strong as the one before and none strong enough, that end before
     * they know which runners are lost.
     */
    @Test
    void leaderLeadsForLongerBeforeItHandsOverToANodeThatLacksTheCapacityToo() {
        CapacityPolicy policy = leading(SMALL);
        NodeCapacity twice = new NodeCapacity(2 * SMALL.cpuMillis(), 330, 4_100);
        ping("twice", twice);
        assertThat(policy.reasonToHandOver(245, successors)).isEmpty();
        loop.advance(Duration.ofSeconds(3));
        ping("twice", twice);
        assertThat(policy.reasonToHandOver(245, successors)).isPresent();
    }

    /** Guards against a handover to a node that has just ended. */
    @Test
    void nodeThatHasNotPingedLatelyDoesNotSucceed() {
        CapacityPolicy policy = leading(SMALL);
        ping("large", LARGE);
        loop.advance(Duration.ofMillis(1_500));
        assertThat(policy.reasonToHandOver(245, successors)).isEmpty();
    }

    /** Guards against a node that is taken for small because its settings name no limits. */
    @Test
    void nodeOfUnknownCapacityClaimsAtOnce() {
        assertThat(new CapacityPolicy(loop, NodeCapacity.UNKNOWN).firstClaimDelay())
                .isZero();
        assertThat(new CapacityPolicy(loop, SMALL).firstClaimDelay()).isPositive();
        assertThat(new CapacityPolicy(loop, LARGE).firstClaimDelay()).isZero();
    }
}
