package org.tamarackline.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.tamarackline.core.fleet.JobState;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpCallResult;

/** Sends requests to other nodes over HTTP. */
final class HttpPeerCalls implements PeerCalls {

    private static final Duration PING_TIMEOUT = Duration.ofMillis(700);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    /** Longer than the leader waits for the store, and the store's own timeout after that. */
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofMillis(2_500);

    /** Numbers of at most 18 digits fit into 64 bits, those of at most 9 digits into 32 bits. */
    private static final Pattern PING_RESPONSE =
            Pattern.compile("(\\d{1,18}) (\\d{1,18}) (\\d{1,18}) (\\d{1,9})(?: unansweredWritesMs=(\\d{1,18})("
                    + PeerPaths.WOULD_HAND_OVER + ")?)?");

    private static final Pattern COUNT = Pattern.compile("\\d{1,9}");

    private final AsyncHttpClient http;
    private final EventLoop loop;

    HttpPeerCalls(AsyncHttpClient http, EventLoop loop) {
        this.http = http;
        this.loop = loop;
    }

    @Override
    public void ping(String address, PingRequest request, Consumer<PingResult> callback) {
        Map<String, String> headers = new HashMap<>();
        headers.put(PeerPaths.ANSWERED_EPOCH, Long.toString(request.answeredEpoch()));
        request.writeStatus().ifPresent(status -> {
            headers.put(PeerPaths.UNANSWERED_WRITES_MS, Long.toString(status.unansweredMs()));
            if (status.probeAnswered()) {
                headers.put(PeerPaths.PROBE_ANSWERED, "true");
            }
        });
        http.call("GET", address, PeerPaths.ping(request), headers, null, PING_TIMEOUT, reply -> {
            PingResult result = pingResult(reply);
            loop.execute(() -> callback.accept(result));
        });
    }

    private static PingResult pingResult(HttpCallResult result) {
        return switch (result) {
            case HttpCallResult.NoResponse noResponse -> new PingFailure(noResponse.cause());
            case HttpCallResult.Response response
            when response.status() == 200 -> {
                Optional<PingResponse> parsed = parsePingResponse(AsyncHttpClient.text(response.body()));
                yield parsed.isPresent() ? parsed.get() : new PingFailure("unreadable response");
            }
            case HttpCallResult.Response response -> new PingFailure("status " + response.status());
        };
    }

    /** Returns the response; empty if the text is not one. */
    private static Optional<PingResponse> parsePingResponse(String text) {
        Matcher matcher = PING_RESPONSE.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new PingResponse(
                Long.parseLong(matcher.group(1)),
                Long.parseLong(matcher.group(2)),
                Long.parseLong(matcher.group(3)),
                Integer.parseInt(matcher.group(4)),
                matcher.group(5) == null ? 0 : Long.parseLong(matcher.group(5)),
                matcher.group(6) != null));
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
                text -> callback.accept(text.flatMap(HttpPeerCalls::parseState).orElse(StateResponse.UNREACHABLE)));
    }

    @Override
    public void submit(String address, String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {
        http.call("POST", address, PeerPaths.SUBMISSIONS + encoded(job), Map.of(), value, SUBMISSION_TIMEOUT, reply -> {
            JobRequestHandler.Outcome outcome = submissionOutcome(reply);
            loop.execute(() -> callback.accept(outcome));
        });
    }

    private static JobRequestHandler.Outcome submissionOutcome(HttpCallResult result) {
        return switch (result) {
            case HttpCallResult.NoResponse noResponse
            when noResponse.neverSent() -> new JobRequestHandler.Outcome.Unavailable(noResponse.cause());
            case HttpCallResult.NoResponse noResponse -> new JobRequestHandler.Outcome.Undetermined(noResponse.cause());
            case HttpCallResult.Response response ->
                switch (response.status()) {
                    case 200 -> SubmissionResponse.decode(AsyncHttpClient.text(response.body()));
                    case 400, 503 ->
                        new JobRequestHandler.Outcome.Unavailable("the leader answered " + response.status());
                    default -> new JobRequestHandler.Outcome.Undetermined("the leader answered " + response.status());
                };
        };
    }

    @Override
    public void queuedJobCount(String address, String queue, Consumer<Optional<Integer>> callback) {
        request(
                "GET",
                address,
                PeerPaths.QUEUES + encoded(queue),
                REQUEST_TIMEOUT,
                text -> callback.accept(
                        text.filter(count -> COUNT.matcher(count).matches()).map(Integer::valueOf)));
    }

    /** Returns the response; empty if the text is not the name of a state. */
    private static Optional<StateResponse> parseState(String text) {
        if (text.isEmpty()) {
            return Optional.of(new StateResponse(true, null));
        }
        return Stream.of(JobState.values())
                .filter(state -> state.name().equals(text))
                .findFirst()
                .map(state -> new StateResponse(true, state));
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
