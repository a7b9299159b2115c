package org.tamarackline.standin.upstream;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/** Guards against a history that misses an overload or a repeated request, or counts a truncated response. */
class StandinUpstreamTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client = HttpClient.newHttpClient();
    private StandinUpstream upstream;

    @BeforeEach
    void start() throws Exception {
        upstream = StandinUpstream.start(
                new UpstreamOptions(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 2, Duration.ZERO));
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        upstream.close();
    }

    @Test
    void echoesTheRequestAndCountsItsRepeats() throws Exception {
        HttpResponse<String> response = client.send(request("r1", 0), HttpResponse.BodyHandlers.ofString());
        client.send(request("r1", 0), HttpResponse.BodyHandlers.ofString());
        assertThat(response.body()).isEqualTo("body of r1");
        assertThat(response.headers().firstValue(StandinUpstream.REQUEST_ID_HEADER))
                .contains("r1");
        assertThat(upstream.history().requests()).containsEntry("r1", 2);
        assertThat(upstream.history().overloads()).isZero();
    }

    @Test
    void countsRequestsBeyondItsSlots() {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            responses.add(client.sendAsync(request("r" + i, 500), HttpResponse.BodyHandlers.ofString()));
        }
        responses.forEach(CompletableFuture::join);
        assertThat(upstream.history().highestConcurrency()).isEqualTo(3);
        assertThat(upstream.history().overloads()).isEqualTo(1);
    }

    @Test
    void closesTheConnectionInTheMiddleOfTheBody() {
        upstream.setFaults(new UpstreamFaults(0, 0, false, true, false));
        assertThatExceptionOfType(IOException.class)
                .isThrownBy(() -> client.send(request("r1", 0), HttpResponse.BodyHandlers.ofString()));
        assertThat(upstream.history().answered()).isZero();
    }

    private HttpRequest request(String id, long workMs) {
        return HttpRequest.newBuilder(URI.create("http://" + upstream.address() + "/any/path"))
                .timeout(TIMEOUT)
                .header(StandinUpstream.REQUEST_ID_HEADER, id)
                .header(StandinUpstream.WORK_HEADER, Long.toString(workMs))
                .POST(HttpRequest.BodyPublishers.ofString("body of " + id))
                .build();
    }
}
