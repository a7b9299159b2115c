package org.tamarackline.fleet;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the order in which nodes succeed a leader. */
class SuccessorsTest {

    private final ManualLoop loop = new ManualLoop();
    private final Successors successors = new Successors(loop);

    private int ping(String node, int cpuMillis) {
        return successors.onPing(new PeerCalls.PingRequest(node, new NodeCapacity(cpuMillis, 500, 4_000)));
    }

    @Test
    void nodesWithMoreProcessorTimeComeFirst() {
        assertThat(ping("a", 300)).isZero();
        assertThat(ping("b", 1_500)).isZero();
        assertThat(ping("c", 300)).isEqualTo(2);
        assertThat(ping("a", 300)).isEqualTo(1);
        assertThat(successors.first(Duration.ofSeconds(1)))
                .map(Successors.Successor::node)
                .contains("b");
    }

    /** Guards against a takeover that waits for nodes which have ended. */
    @Test
    void nodesThatPingNoMoreCountNoMore() {
        ping("a", 300);
        ping("b", 1_500);
        loop.advance(Duration.ofSeconds(5));
        assertThat(ping("a", 300)).isZero();
        assertThat(successors.first(Duration.ofSeconds(1)))
                .map(Successors.Successor::node)
                .contains("a");
    }

    /** Guards against a node whose rank falls between two of its pings because they are far apart. */
    @Test
    void nodeOfAHighRankCountsUntilItsNextPingIsDue() {
        for (int i = 0; i < 40; i++) {
            ping("a%02d".formatted(i), 1_500);
        }
        loop.advance(Successors.pingInterval(39).plusSeconds(1));
        ping("x", 1);
        assertThat(ping("y", 1_000)).isPositive();
    }
}
