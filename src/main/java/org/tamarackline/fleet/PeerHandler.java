package org.tamarackline.fleet;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.tamarackline.core.fleet.JobState;
import org.tamarackline.http.HttpExchange;

/** Answers the questions of other nodes and of operators' tools. */
final class PeerHandler implements Consumer<HttpExchange> {

    private final EventLoop loop;
    private final Election election;
    private final Supplier<String> metrics;
    private final Supplier<byte[]> state;

    /**
     * Creates a handler.
     *
     * @param metrics text of the metrics
     * @param state dump of the node's state, made on the event loop
     */
    PeerHandler(EventLoop loop, Election election, Supplier<String> metrics, Supplier<byte[]> state) {
        this.loop = loop;
        this.election = election;
        this.metrics = metrics;
        this.state = state;
    }

    @Override
    public void accept(HttpExchange exchange) {
        String path = exchange.path();
        if (path.startsWith(PeerPaths.PING)) {
            loop.execute(() -> {
                PeerCalls.PingAnswer answer = election.answerPing(nameIn(path, PeerPaths.PING));
                respond(
                        exchange,
                        "%d %d %d %d"
                                .formatted(answer.epoch(), answer.claimedEpoch(), answer.storeAgeMs(), answer.rank()));
            });
        } else if (path.startsWith(PeerPaths.STEP_DOWN) && exchange.method().equals("POST")) {
            answerStepDown(exchange, path.substring(PeerPaths.STEP_DOWN.length()));
        } else if (path.startsWith(PeerPaths.JOBS)) {
            loop.execute(() -> answerLeading(
                    exchange,
                    leader -> leader.state(nameIn(path, PeerPaths.JOBS)).map(JobState::name)));
        } else if (path.startsWith(PeerPaths.QUEUES)) {
            loop.execute(() -> answerLeading(
                    exchange,
                    leader -> leader.pending(nameIn(path, PeerPaths.QUEUES)).map(String::valueOf)));
        } else if (path.equals(PeerPaths.STATE)) {
            loop.execute(() -> exchange.respond(200, Map.of(), state.get()));
        } else if (path.equals(PeerPaths.METRICS)) {
            respond(exchange, metrics.get());
        } else {
            exchange.respond(404, Map.of(), new byte[0]);
        }
    }

    private void answerStepDown(HttpExchange exchange, String epochText) {
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

    private interface Question {
        Optional<String> ask(Leader leader);
    }

    private void answerLeading(HttpExchange exchange, Question question) {
        Optional<Leader> leader = election.leader().filter(Leader::loaded);
        if (leader.isEmpty()) {
            exchange.respond(503, Map.of(), new byte[0]);
            return;
        }
        respond(exchange, question.ask(leader.get()).orElse(""));
    }

    private static String nameIn(String path, String prefix) {
        return URLDecoder.decode(path.substring(prefix.length()), StandardCharsets.UTF_8);
    }

    private static void respond(HttpExchange exchange, String text) {
        exchange.respond(200, Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }
}
