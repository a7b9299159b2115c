package org.tamarackline.standin.fleet;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpCallResult;

/** HTTP client that submits, reads and cancels jobs in the queue that {@link StandinFleet} configures. */
public final class StandinCaller {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final AsyncHttpClient http;

    public StandinCaller(AsyncHttpClient http) {
        this.http = http;
    }

    /** Sends a request to a node and returns the status of the response, 0 if there is none. */
    public int send(InetSocketAddress node, String method, String job, String body) {
        return request(node, method, job, body) instanceof HttpCallResult.Response response ? response.status() : 0;
    }

    /** Reads the state of a job and returns the response body, empty if there is no response. */
    public String jobState(InetSocketAddress node, String job) {
        return request(node, "GET", job, null) instanceof HttpCallResult.Response response
                ? AsyncHttpClient.text(response.body())
                : "";
    }

    /**
     * Waits until a job is in a state.
     *
     * @return whether the job reached the state before the timeout
     */
    public boolean awaitJobState(InetSocketAddress node, String job, String state, Duration timeout)
            throws InterruptedException {
        long endNanos = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            if (jobState(node, job).contains("\"" + state + "\"")) {
                return true;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        return false;
    }

    private HttpCallResult request(InetSocketAddress node, String method, String job, String body) {
        CompletableFuture<HttpCallResult> reply = new CompletableFuture<>();
        http.call(
                method,
                StandinFleet.hostAndPort(node),
                StandinFleet.QUEUE_PATH_PREFIX + job,
                Map.of("Host", StandinFleet.QUEUE_HOST),
                body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                REQUEST_TIMEOUT,
                reply::complete);
        return reply.join();
    }
}
