package org.tamarackline.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.JobState;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpCallResult;

/** Sends requests to other nodes over HTTP. */
final class HttpPeerCalls implements PeerCalls {

    private static final Duration PING_TIMEOUT = Duration.ofMillis(700);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    private final AsyncHttpClient http;
    private final EventLoop loop;

    HttpPeerCalls(AsyncHttpClient http, EventLoop loop) {
        this.http = http;
        this.loop = loop;
    }

    @Override
    public void ping(String address, String callerNode, Consumer<Optional<PingResponse>> callback) {
        request(
                "GET",
                address,
                PeerPaths.PING + encoded(callerNode),
                PING_TIMEOUT,
                text -> callback.accept(text.map(HttpPeerCalls::parsePingResponse)));
    }

    private static PingResponse parsePingResponse(String text) {
        String[] parts = text.split(" ", -1);
        return new PingResponse(
                Long.parseLong(parts[0]),
                Long.parseLong(parts[1]),
                Long.parseLong(parts[2]),
                Integer.parseInt(parts[3]));
    }

    @Override
    public void stepDown(String address, long epoch, Consumer<Boolean> callback) {
        request(
                "POST",
                address,
                PeerPaths.STEP_DOWN + epoch,
                REQUEST_TIMEOUT,
                text -> callback.accept(
                        text.filter(PeerPaths.STEPPED_DOWN::equals).isPresent()));
    }

    @Override
    public void state(String address, String job, Consumer<StateResponse> callback) {
        request(
                "GET",
                address,
                PeerPaths.JOBS + encoded(job),
                REQUEST_TIMEOUT,
                text -> callback.accept(
                        text.map(state -> new StateResponse(true, state.isEmpty() ? null : JobState.valueOf(state)))
                                .orElse(StateResponse.UNREACHABLE)));
    }

    @Override
    public void queuedJobCount(String address, String queue, Consumer<Optional<Integer>> callback) {
        request(
                "GET",
                address,
                PeerPaths.QUEUES + encoded(queue),
                REQUEST_TIMEOUT,
                text -> callback.accept(text.filter(count -> !count.isEmpty()).map(Integer::valueOf)));
    }

    private void request(
            String method, String address, String target, Duration timeout, Consumer<Optional<String>> callback) {
        http.call(method, address, target, Map.of(), null, timeout, reply -> {
            Optional<String> text = reply instanceof HttpCallResult.Response answer && answer.status() == 200
                    ? Optional.of(AsyncHttpClient.text(answer.body()))
                    : Optional.empty();
            loop.execute(() -> callback.accept(text));
        });
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
