package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/** Requests of one node to the elections of other nodes, which may be slow or unreachable. */
final class FakePeerCalls implements PeerCalls {

    private static final Duration TIMEOUT = Duration.ofMillis(700);
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofMillis(2_500);

    private final EventLoop loop;
    private final Network network;

    FakePeerCalls(EventLoop loop, Network network) {
        this.loop = loop;
        this.network = network;
    }

    /** Network that connects the nodes. */
    static final class Network {

        private record Node(EventLoop loop, Election election) {}

        private record Connection(EventLoop from, String address) {}

        private final Map<String, Node> nodes = new HashMap<>();
        private final Set<String> unreachable = new HashSet<>();
        private final Set<EventLoop> silenced = new HashSet<>();
        private final Set<Connection> silentConnections = new HashSet<>();
        private Duration latency = Duration.ofMillis(2);
        private long pings;

        private boolean delivers(EventLoop from, String address) {
            return nodes.containsKey(address)
                    && !unreachable.contains(address)
                    && !silenced.contains(from)
                    && !silentConnections.contains(new Connection(from, address));
        }

        void add(String address, EventLoop loop, Election election) {
            nodes.put(address, new Node(loop, election));
            unreachable.remove(address);
        }

        /** Sets the latency of a request, and of its response. */
        void setLatency(Duration next) {
            latency = next;
        }

        /** Returns the number of pings that were sent. */
        long pingCount() {
            return pings;
        }

        /** Drops all requests to an address and of the node there. */
        void isolate(String address) {
            unreachable.add(address);
            silenced.add(nodes.get(address).loop());
        }

        /** Drops all requests of a node to an address. */
        void silence(EventLoop from, String address) {
            silentConnections.add(new Connection(from, address));
        }

        /** Delivers the requests of all nodes that were silenced. */
        void endSilence() {
            silentConnections.clear();
        }

        /** Drops all requests to an address. */
        void disconnect(String address) {
            unreachable.add(address);
        }
    }

    /** Passes on the response or the timeout of a request, whichever comes first. */
    private static final class Call<T> {

        private final Consumer<T> done;
        private boolean over;

        Call(Consumer<T> callback) {
            this.done = callback;
        }

        void end(T response) {
            if (!over) {
                over = true;
                done.accept(response);
            }
        }
    }

    private <T> void request(String address, Function<Election, T> handler, T noResponse, Consumer<T> callback) {
        Call<T> call = new Call<>(callback);
        loop.schedule(TIMEOUT, () -> call.end(noResponse));
        Network.Node node = network.nodes.get(address);
        if (!network.delivers(loop, address)) {
            return;
        }
        node.loop().schedule(network.latency, () -> {
            T response = handler.apply(node.election());
            loop.schedule(network.latency, () -> call.end(response));
        });
    }

    @Override
    public void ping(String address, PingRequest ping, Consumer<PingResult> callback) {
        network.pings++;
        request(address, election -> election.handlePing(ping), new PingFailure("no response"), callback);
    }

    @Override
    public void stepDown(String address, long epoch, Consumer<Boolean> callback) {
        request(
                address,
                election -> {
                    election.stepDown(epoch);
                    return true;
                },
                false,
                callback);
    }

    @Override
    public void state(String address, String job, Consumer<StateResponse> callback) {
        loop.schedule(TIMEOUT, () -> callback.accept(StateResponse.UNREACHABLE));
    }

    @Override
    public void submit(String address, String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {
        Call<JobRequestHandler.Outcome> call = new Call<>(callback);
        loop.schedule(
                SUBMISSION_TIMEOUT, () -> call.end(new JobRequestHandler.Outcome.Undetermined("no response arrived")));
        Network.Node node = network.nodes.get(address);
        if (node == null || network.unreachable.contains(address)) {
            return;
        }
        node.loop()
                .schedule(
                        network.latency,
                        () -> node.election()
                                .submit(
                                        job,
                                        value,
                                        outcome -> loop.schedule(network.latency, () -> call.end(outcome))));
    }

    @Override
    public void queuedJobCount(String address, String queue, Consumer<Optional<Integer>> callback) {
        loop.schedule(TIMEOUT, () -> callback.accept(Optional.empty()));
    }
}
