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
            loop.execute(() -> {
                PeerCalls.PingResponse response = election.handlePing(pathParameter(path, PeerPaths.PING));
                respond(
                        exchange,
                        "%d %d %d %d"
                                .formatted(
                                        response.epoch(),
                                        response.claimedEpoch(),
                                        response.storeAgeMs(),
                                        response.rank()));
            });
        } else if (path.startsWith(PeerPaths.STEP_DOWN) && exchange.method().equals("POST")) {
            handleStepDown(exchange, path.substring(PeerPaths.STEP_DOWN.length()));
        } else if (path.startsWith(PeerPaths.JOBS)) {
            loop.execute(() -> respondFromLeader(
                    exchange,
                    leader -> leader.state(pathParameter(path, PeerPaths.JOBS)).map(JobState::name)));
        } else if (path.startsWith(PeerPaths.QUEUES)) {
            loop.execute(() -> respondFromLeader(
                    exchange,
                    leader -> leader.queuedJobCount(pathParameter(path, PeerPaths.QUEUES))
                            .map(String::valueOf)));
        } else if (path.equals(PeerPaths.STATE)) {
            loop.execute(() -> exchange.respond(200, Map.of(), stateJson.get()));
        } else if (path.equals(PeerPaths.METRICS)) {
            respond(exchange, metrics.get());
        } else {
            exchange.respond(404, Map.of(), new byte[0]);
        }
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

    private static String pathParameter(String path, String prefix) {
        return URLDecoder.decode(path.substring(prefix.length()), StandardCharsets.UTF_8);
    }

    private static void respond(HttpExchange exchange, String text) {
        exchange.respond(200, Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }
}
