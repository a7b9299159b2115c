package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.Test;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests for how long a node lets the node take over in whose favour a leader resigned. */
class SuccessorTurnTest {

    private static final LeaderRecord LEADER = new LeaderRecord(1, "leader", "10.0.0.1:1", 1, false, List.of());
    private static final LeaderRecord RESIGNED = LEADER.asResigned(true, Optional.of("successor"));

    private final ManualLoop loop = new ManualLoop();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private final SuccessorTurn turn = turnOf("node");

    private SuccessorTurn turnOf(String node) {
        return new SuccessorTurn(loop, new DecisionLog(sink, () -> Instant.EPOCH, loop, node), node);
    }

    /** Guards against nodes that wait for a successor which has ended, while runners lose their leases. */
    @Test
    void turnEnds() {
        assertThat(turn.isOfOther(RESIGNED, 5)).isTrue();
        loop.advance(Duration.ofMillis(600));
        assertThat(turn.isOfOther(RESIGNED, 5)).isTrue();
        loop.advance(Duration.ofMillis(600));
        assertThat(turn.isOfOther(RESIGNED, 5)).isFalse();
    }

    /** Guards against nodes that do nothing after a resignation without telling why, and against a line for each read. */
    @Test
    void turnIsLoggedOnce() {
        turn.isOfOther(RESIGNED, 5);
        turn.isOfOther(RESIGNED, 5);
        sink.flush();
        assertThat(output.toString(StandardCharsets.UTF_8).lines())
                .singleElement(InstanceOfAssertFactories.STRING)
                .contains("successor-awaited", "in favour of successor");
    }

    /** Guards against a second resignation whose successor gets no time, because the first one was read long before. */
    @Test
    void eachResignationGivesATurn() {
        turn.isOfOther(RESIGNED, 5);
        loop.advance(Duration.ofSeconds(5));
        assertThat(turn.isOfOther(RESIGNED, 7)).isTrue();
    }

    @Test
    void successorDoesNotWaitForItself() {
        assertThat(turnOf("successor").isOfOther(RESIGNED, 5)).isFalse();
    }

    /** Guards against a delay after the resignation of a leader that names no successor, as earlier versions do. */
    @Test
    void nobodyWaitsWithoutASuccessor() {
        assertThat(turn.isOfOther(LEADER.asResigned(true, Optional.empty()), 5)).isFalse();
        assertThat(turn.isOfOther(LEADER, 5)).isFalse();
    }
}
