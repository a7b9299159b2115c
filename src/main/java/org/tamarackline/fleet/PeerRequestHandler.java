package org.tamarackline.fleet;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.tamarackline.core.fleet.JobState;
import org.tamarackline.http.HttpExchange;

/** Handles HTTP requests of other nodes and of operators' tools. */
final class PeerRequestHandler implements Consumer<HttpExchange> {

    private final EventLoop loop;
    private final Election election;
    private final Supplier<String> metrics;
    private final Supplier<byte[]> stateJson;

    /**
     * Creates a handler.
     *
     * @param metrics supplies the text of the metrics
     * @param stateJson supplies the state of the node as JSON; called on the event loop
     */
    PeerRequestHandler(EventLoop loop, Election election, Supplier<String> metrics, Supplier<byte[]> stateJson) {
        this.loop = loop;
        this.election = election;
        this.metrics = metrics;
        this.stateJson = stateJson;
    }

    @Override
    public void accept(HttpExchange exchange) {
        String path = exchange.path();
        if (path.startsWith(PeerPaths.PING)) {
            PeerPaths.parsePing(path)
                    .map(ping -> withHeaders(ping, exchange))
                    .ifPresentOrElse(
                            ping -> loop.execute(() -> respondToPing(exchange, ping)),
                            () -> exchange.respond(400, Map.of(), new byte[0]));
        } else if (path.startsWith(PeerPaths.STEP_DOWN) && exchange.method().equals("POST")) {
            handleStepDown(exchange, path.substring(PeerPaths.STEP_DOWN.length()));
        } else if (path.startsWith(PeerPaths.SUBMISSIONS) && exchange.method().equals("POST")) {
            withParameter(exchange, PeerPaths.SUBMISSIONS, job -> handleSubmission(exchange, job));
        } else if (path.startsWith(PeerPaths.JOBS)) {
            withParameter(
                    exchange,
                    PeerPaths.JOBS,
                    job -> respondFromLeader(
                            exchange, leader -> leader.state(job).map(JobState::name)));
        } else if (path.startsWith(PeerPaths.QUEUES)) {
            withParameter(
                    exchange,
                    PeerPaths.QUEUES,
                    queue -> respondFromLeader(
                            exchange, leader -> leader.queuedJobCount(queue).map(String::valueOf)));
        } else if (path.equals(PeerPaths.STATE)) {
            loop.execute(() -> exchange.respond(200, Map.of(), stateJson.get()));
        } else if (path.equals(PeerPaths.METRICS)) {
            respond(exchange, metrics.get());
        } else {
            exchange.respond(404, Map.of(), new byte[0]);
        }
    }

    private static PeerCalls.PingRequest withHeaders(PeerCalls.PingRequest ping, HttpExchange exchange) {
        return ping.withAnsweredEpoch(PeerPaths.parseAnsweredEpoch(exchange.header(PeerPaths.ANSWERED_EPOCH)))
                .withWriteStatus(PeerPaths.parseWriteStatus(
                        exchange.header(PeerPaths.UNANSWERED_WRITES_MS), exchange.header(PeerPaths.PROBE_ANSWERED)));
    }

    /** Passes the parameter that follows a prefix of the path to a handler on the event loop, or refuses the request. */
    private void withParameter(HttpExchange exchange, String prefix, Consumer<String> handler) {
        String parameter;
        try {
            parameter = URLDecoder.decode(exchange.path().substring(prefix.length()), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            exchange.respond(400, Map.of(), new byte[0]);
            return;
        }
        loop.execute(() -> handler.accept(parameter));
    }

    private void respondToPing(HttpExchange exchange, PeerCalls.PingRequest ping) {
        PeerCalls.PingResponse response = election.handlePing(ping);
        String text = "%d %d %d %d"
                .formatted(response.epoch(), response.claimedEpoch(), response.storeAgeMs(), response.rank());
        // Earlier versions accept the four numbers only.
        respond(exchange, ping.writeStatus().isPresent() ? text + writeStatusOf(response) : text);
    }

    private static String writeStatusOf(PeerCalls.PingResponse response) {
        String unanswered = " unansweredWritesMs=" + response.unansweredWritesMs();
        return response.wouldHandOver() ? unanswered + PeerPaths.WOULD_HAND_OVER : unanswered;
    }

    private void handleStepDown(HttpExchange exchange, String epochText) {
        long epoch;
        try {
            epoch = Long.parseLong(epochText);
        } catch (NumberFormatException malformed) {
            exchange.respond(400, Map.of(), new byte[0]);
            return;
        }
        loop.execute(() -> {
            election.stepDown(epoch);
            respond(exchange, PeerPaths.STEPPED_DOWN);
        });
    }

    private void handleSubmission(HttpExchange exchange, String job) {
        if (election.leader().isEmpty()) {
            exchange.respond(503, Map.of(), new byte[0]);
        } else if (!isOpenJob(job, exchange.body())) {
            exchange.respond(400, Map.of(), new byte[0]);
        } else {
            election.submit(job, exchange.body(), outcome -> respond(exchange, SubmissionResponse.encode(outcome)));
        }
    }

    private static boolean isOpenJob(String job, byte[] value) {
        try {
            return RecordCodec.isJobId(job) && RecordCodec.decodeJob(job, value) instanceof StoredJob.Open;
        } catch (CorruptRecordException corrupt) {
            return false;
        }
    }

    private interface LeaderQuery {
        Optional<String> query(Leader leader);
    }

    private void respondFromLeader(HttpExchange exchange, LeaderQuery query) {
        Optional<Leader> leader = election.leader().filter(Leader::loaded);
        if (leader.isEmpty()) {
            exchange.respond(503, Map.of(), new byte[0]);
            return;
        }
        respond(exchange, query.query(leader.get()).orElse(""));
    }

    private static void respond(HttpExchange exchange, String text) {
        exchange.respond(200, Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }
}
