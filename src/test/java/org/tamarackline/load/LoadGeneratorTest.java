package org.tamarackline.load;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.standin.StandinExchange;
import org.tamarackline.standin.StandinServer;
import org.tamarackline.standin.upstream.StandinUpstream;
import org.tamarackline.standin.upstream.UpstreamFaults;
import org.tamarackline.standin.upstream.UpstreamOptions;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a load client that accepts wrong or truncated responses, or hides slow ones. */
class LoadGeneratorTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final LoadPlan PLAN =
            new LoadPlan(200, Duration.ofSeconds(1), "/services/s/load", Map.of(), 300, TIMEOUT);
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final LoadRecorder recorder = new LoadRecorder();
    private final LoadClient client = new LoadClient(64, TIMEOUT);
    private StandinUpstream upstream;

    @BeforeEach
    void start() throws Exception {
        upstream = StandinUpstream.start(new UpstreamOptions(ANY_PORT, 8, Duration.ZERO));
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        upstream.close();
    }

    @Test
    void sendsEveryRequestOnceAndChecksTheResponses() throws Exception {
        LoadResult result = run(upstream.address());
        assertThat(result.outcomes()).containsExactly(Map.entry(RequestOutcome.Kind.ANSWERED, 200L));
        assertThat(result.latency().count()).isEqualTo(200);
        assertThat(upstream.history().requests())
                .hasSize(200)
                .allSatisfy((id, count) -> assertThat(count).isEqualTo(1));
    }

    @Test
    void countsTruncatedResponsesAsBroken() throws Exception {
        upstream.setFaults(new UpstreamFaults(0, 0, false, true, false));
        assertThat(run(upstream.address()).outcomes()).containsExactly(Map.entry(RequestOutcome.Kind.BROKEN, 200L));
    }

    @Test
    void countsResponsesToAnotherRequestAsMismatched() throws Exception {
        try (StandinServer mismatchingServer =
                StandinServer.start(ANY_PORT, LoadGeneratorTest::respondWithAnotherBody)) {
            assertThat(run(mismatchingServer.address()).outcomes())
                    .containsExactly(Map.entry(RequestOutcome.Kind.MISMATCHED, 200L));
        }
    }

    @Test
    void measuresLatencyFromTheDueTime() throws Exception {
        upstream.setFaults(new UpstreamFaults(300, 0, false, false, false));
        assertThat(run(upstream.address()).latency().p50Ms()).isGreaterThanOrEqualTo(300);
    }

    private static void respondWithAnotherBody(StandinExchange exchange) throws Exception {
        byte[] body = exchange.body();
        body[0]++;
        exchange.respond(200, body);
    }

    private LoadResult run(String address) throws Exception {
        new LoadGenerator(client, recorder, request -> {}).run(PLAN, List.of("http://" + address), "run");
        return recorder.result();
    }
}
