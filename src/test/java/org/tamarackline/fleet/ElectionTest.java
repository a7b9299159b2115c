package org.tamarackline.fleet;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ElectionTest {

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
    void claimWhoseAnswerIsLostIsNotRepeated() {
        ElectionNodes nodes = new ElectionNodes();
        nodes.store().loseAnswers(1);
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
}
