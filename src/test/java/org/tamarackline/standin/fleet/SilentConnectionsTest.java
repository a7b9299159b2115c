package org.tamarackline.standin.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpCallResult;
import org.tamarackline.http.HttpExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a silent connection that still acts or answers, and against one that makes others silent. */
class SilentConnectionsTest {

    private static final double ALL = 1;

    private final SilentConnections connections = new SilentConnections();
    private final List<HttpExchange> handled = new ArrayList<>();
    private final List<Integer> responses = new ArrayList<>();
    private final Consumer<HttpExchange> handler = connections.guard(handled::add);

    private record FakeExchange(String connectionId, List<Integer> responses) implements HttpExchange {

        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String host() {
            return "";
        }

        @Override
        public String path() {
            return "/";
        }

        @Override
        public Map<String, String> query() {
            return Map.of();
        }

        @Override
        public byte[] body() {
            return new byte[0];
        }

        @Override
        public String header(String name) {
            return null;
        }

        @Override
        public void respond(int status, Map<String, String> headers, byte[] content) {
            responses.add(status);
        }
    }

    private void request(String connection) {
        handler.accept(new FakeExchange(connection, responses));
    }

    private void respondToAll() {
        handled.forEach(exchange -> exchange.respond(200, Map.of(), new byte[0]));
    }

    @Test
    void requestBeforeTheSilenceIsNotAnswered() {
        request("a");
        connections.silence(ALL, new Random(0));
        respondToAll();
        assertThat(handled).hasSize(1);
        assertThat(responses).isEmpty();
    }

    @Test
    void requestAfterTheSilenceHasNoEffect() {
        request("a");
        connections.silence(ALL, new Random(0));
        request("a");
        assertThat(handled).hasSize(1);
    }

    @Test
    void openConnectionsOfTheStoreGetNoResponse() throws Exception {
        try (StandinFleet fleet = new StandinFleet(1, 1)) {
            AsyncHttpClient http = new AsyncHttpClient(1);
            assertThat(read(http, fleet)).isInstanceOf(HttpCallResult.Response.class);
            fleet.silenceStoreConnections(ALL, new Random(0));
            assertThat(read(http, fleet)).isNotInstanceOf(HttpCallResult.Response.class);
            // The client has closed the silent connection by now.
            assertThat(read(http, fleet)).isInstanceOf(HttpCallResult.Response.class);
            http.close();
        }
    }

    private static HttpCallResult read(AsyncHttpClient http, StandinFleet fleet) {
        CompletableFuture<HttpCallResult> result = new CompletableFuture<>();
        http.call(
                "GET",
                fleet.storeAddress(),
                "/-/rows-get?table=op",
                Map.of(),
                null,
                Duration.ofMillis(500),
                result::complete);
        return result.join();
    }

    @Test
    void newConnectionWorks() {
        request("a");
        connections.silence(ALL, new Random(0));
        request("b");
        respondToAll();
        assertThat(responses).containsExactly(200);
    }
}
