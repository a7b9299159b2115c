package org.tamarackline.platform;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;

import org.tamarackline.core.fleet.FleetConfiguration;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.fleet.FleetMetrics;
import org.tamarackline.fleet.FleetNode;
import org.tamarackline.http.HttpExchange;

/**
 * Handles the HTTP requests of callers: submits and cancels jobs, and returns the state of a job or the number of
 * queued jobs.
 *
 * <p>The host and path prefix of a request select its queue. A 503 response means that the request was not executed.
 */
final class CallerRequestHandler implements Consumer<HttpExchange> {

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");

    /** Asks a caller whose request was not executed to retry after one second. */
    private static final Map<String, String> RETRY_AFTER_HEADERS = Map.of("Retry-After", "1");

    private static final byte[] EMPTY_BODY = new byte[0];

    private final FleetNode node;
    private final FleetMetrics metrics;
    private final InstantSource timeOfDay;

    CallerRequestHandler(FleetNode node, FleetMetrics metrics, InstantSource timeOfDay) {
        this.node = node;
        this.metrics = metrics;
        this.timeOfDay = timeOfDay;
    }

    @Override
    public void accept(HttpExchange exchange) {
        long startNanos = System.nanoTime();
        Responder responder = (status, headers, body) -> {
            exchange.respond(status, headers, body);
            metrics.requestCompleted(Duration.ofNanos(System.nanoTime() - startNanos));
        };
        FleetConfiguration configuration = node.configuration();
        if (configuration.version() == 0) {
            countRefusal(exchange, FleetMetrics.RefusalReason.NOT_CONFIGURED);
            respondUnavailable(responder, "the node has not received its configuration yet");
            return;
        }
        Optional<QueueDefinition> queue = configuration.match(exchange.host(), exchange.path());
        if (queue.isEmpty()) {
            countRefusal(exchange, FleetMetrics.RefusalReason.NO_QUEUE);
            node.onNoQueue(exchange.path(), configuration);
            respondError(responder, 404, "no queue matches this host and path");
            return;
        }
        String id = exchange.path().substring(queue.get().pathPrefix().length());
        if (id.isEmpty() && exchange.method().equals("GET")) {
            respondQueuedJobCount(queue.get(), responder);
        } else if (!JOB_ID.matcher(id).matches()) {
            countRefusal(exchange, FleetMetrics.RefusalReason.INVALID_ID);
            respondError(responder, 404, "the path must end with an identifier of 16 hexadecimal digits");
        } else {
            handleJobRequest(exchange, queue.get(), id, responder);
        }
    }

    private void countRefusal(HttpExchange exchange, FleetMetrics.RefusalReason reason) {
        if (exchange.method().equals("POST")) {
            metrics.submissionRefused(reason);
        }
    }

    private interface Responder {
        void respond(int status, Map<String, String> headers, byte[] body);
    }

    private void handleJobRequest(HttpExchange exchange, QueueDefinition queue, String id, Responder responder) {
        switch (exchange.method()) {
            case "POST" -> submit(exchange, queue, id, responder);
            case "GET" -> respondState(id, responder);
            case "DELETE" -> node.cancel(id, result -> respond(result, responder));
            default -> responder.respond(405, Map.of("Allow", "GET, POST, DELETE"), EMPTY_BODY);
        }
    }

    private void submit(HttpExchange exchange, QueueDefinition queue, String id, Responder responder) {
        JobDefinition job;
        try {
            job = JobDecoder.decode(id, queue, exchange.body(), timeOfDay.millis());
        } catch (InvalidJobException invalid) {
            metrics.submissionRefused(FleetMetrics.RefusalReason.INVALID_JOB);
            respondError(responder, 400, invalid.getMessage());
            return;
        }
        node.submit(job, result -> respond(result, responder));
    }

    private static void respond(FleetNode.SubmitResult result, Responder responder) {
        switch (result) {
            case ACCEPTED -> responder.respond(200, Map.of(), EMPTY_BODY);
            case UNAVAILABLE ->
                respondUnavailable(responder, "the store did not accept the request; it was not executed");
            // Not 503: the request may have been stored, so the caller repeats it with the same identifier.
            case UNDETERMINED ->
                respondError(responder, 504, "the store did not respond; repeat the request with the same identifier");
            case TOO_LARGE -> respondError(responder, 413, "the job is too large; split it into several");
            case NO_SUCH_JOB -> responder.respond(410, Map.of(), EMPTY_BODY);
            default -> throw new IllegalStateException("result %s is not handled".formatted(result));
        }
    }

    private void respondState(String id, Responder responder) {
        node.state(id, result -> {
            if (result.state().filter(JobState.HELD::equals).isPresent()) {
                // The platform has no such state, and the job may be queued or running.
                respondUnavailable(responder, "the job is held because a record of it cannot be read");
            } else if (result.state().isPresent()) {
                responder.respond(200, Map.of(), stateBody(result.state().get()));
            } else if (result.known()) {
                responder.respond(410, Map.of(), EMPTY_BODY);
            } else {
                respondUnavailable(responder, "the state of the job cannot be read at present");
            }
        });
    }

    private static byte[] stateBody(JobState state) {
        return Json.encodeObject(
                json -> json.writeStringField("state", state.name().toLowerCase(Locale.ROOT)));
    }

    private void respondQueuedJobCount(QueueDefinition queue, Responder responder) {
        node.queuedJobCount(queue.name(), jobCount -> {
            if (jobCount.isEmpty()) {
                respondUnavailable(responder, "the number of queued jobs is not known at present");
            } else {
                responder.respond(
                        200, Map.of(), Json.encodeObject(json -> json.writeNumberField("pending", jobCount.get())));
            }
        });
    }

    private static void respondUnavailable(Responder responder, String reason) {
        responder.respond(503, RETRY_AFTER_HEADERS, Json.encodeObject(json -> json.writeStringField("error", reason)));
    }

    private static void respondError(Responder responder, int status, String reason) {
        responder.respond(status, Map.of(), Json.encodeObject(json -> json.writeStringField("error", reason)));
    }
}
