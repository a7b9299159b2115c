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
import org.tamarackline.fleet.FleetNode;
import org.tamarackline.fleet.FleetNodeMetrics;
import org.tamarackline.http.HttpExchange;

/** What callers of the platform send: jobs, cancellations and questions for their state. */
final class CallerRequestHandler implements Consumer<HttpExchange> {

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");

    /** When a caller whose request was not carried out should come back, in seconds. */
    private static final Map<String, String> RETRY_AFTER_HEADERS = Map.of("Retry-After", "1");

    private static final byte[] EMPTY_BODY = new byte[0];

    private final FleetNode node;
    private final FleetNodeMetrics metrics;
    private final InstantSource timeOfDay;

    CallerRequestHandler(FleetNode node, FleetNodeMetrics metrics, InstantSource timeOfDay) {
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
            respondUnavailable(responder, "no configuration yet");
            return;
        }
        Optional<QueueDefinition> queue = configuration.match(exchange.host(), exchange.path());
        if (queue.isEmpty()) {
            respondError(responder, 404, "no queue has this host and path");
            return;
        }
        String id = exchange.path().substring(queue.get().pathPrefix().length());
        if (id.isEmpty() && exchange.method().equals("GET")) {
            respondQueuedJobCount(queue.get(), responder);
        } else if (!JOB_ID.matcher(id).matches()) {
            respondError(responder, 404, "the path must end with an identifier of 16 hexadecimal digits");
        } else {
            handleJobRequest(exchange, queue.get(), id, responder);
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
            respondError(responder, 400, invalid.getMessage());
            return;
        }
        node.submit(job, result -> respond(result, responder));
    }

    private static void respond(FleetNode.SubmitResult result, Responder responder) {
        switch (result) {
            case ACCEPTED -> responder.respond(200, Map.of(), EMPTY_BODY);
            case UNAVAILABLE -> respondUnavailable(responder, "the store did not take the request; it has not run");
            // Not a refusal: the request may be stored, and the caller asks again with the same identifier.
            case UNDETERMINED -> respondError(responder, 504, "the store did not answer; send the request again");
            case TOO_LARGE -> respondError(responder, 413, "the job is too large; split it into several");
            case NO_SUCH_JOB -> responder.respond(410, Map.of(), EMPTY_BODY);
            default -> throw new IllegalStateException("answer %s is not handled".formatted(result));
        }
    }

    private void respondState(String id, Responder responder) {
        node.state(id, result -> {
            if (result.state().isPresent()) {
                responder.respond(200, Map.of(), stateBody(result.state().get()));
            } else if (result.known()) {
                responder.respond(410, Map.of(), EMPTY_BODY);
            } else {
                respondUnavailable(responder, "the state cannot be read now");
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
                respondUnavailable(responder, "the number of waiting jobs is not known now");
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
