package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

import org.tamarackline.core.fleet.JobState;

/** Requests of one node process to the current processes of other nodes. */
final class SimulatedPeerCalls implements PeerCalls {

    private static final Duration PING_TIMEOUT = Duration.ofMillis(700);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofMillis(2_500);

    /** Connections between the nodes. */
    interface Network {

        /** Returns the process at an address, null if none is up. */
        SimulatedNode.NodeProcess processAt(String address);

        /** Returns whether a message that is sent now from this node to an address arrives. */
        boolean reaches(String address);

        /** Returns whether a message that is sent now from an address to this node arrives. */
        boolean reachedFrom(String address);
    }

    private final ManualLoop shared;
    private final EventLoop loop;
    private final Network network;
    private final Random random;
    private final boolean hidesFailedWrites;

    /**
     * Creates the calls of a node process.
     *
     * @param hidesFailedWrites whether other nodes tell that the store answers their transactions, whether or not it does
     */
    SimulatedPeerCalls(ManualLoop shared, EventLoop loop, Network network, Random random, boolean hidesFailedWrites) {
        this.shared = shared;
        this.loop = loop;
        this.network = network;
        this.random = random;
        this.hidesFailedWrites = hidesFailedWrites;
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

    private Duration latency() {
        return Duration.ofNanos(1_000_000 + random.nextInt(4_000_000));
    }

    private <T> void request(
            String address, Duration timeout, Function<Election, T> handler, T noResponse, Consumer<T> callback) {
        Call<T> call = new Call<>(callback);
        loop.schedule(timeout, () -> call.end(noResponse));
        Duration responseLatency = latency();
        boolean arrives = network.reaches(address);
        shared.schedule(latency(), () -> {
            SimulatedNode.NodeProcess process = network.processAt(address);
            if (process == null || !arrives) {
                return;
            }
            process.loop().execute(() -> {
                T response = handler.apply(process.election());
                if (network.reachedFrom(address)) {
                    shared.schedule(responseLatency, () -> loop.execute(() -> call.end(response)));
                }
            });
        });
    }

    @Override
    public void ping(String address, PingRequest ping, Consumer<PingResult> callback) {
        request(address, PING_TIMEOUT, election -> answer(election, ping), new PingFailure("no response"), callback);
    }

    private PingResponse answer(Election election, PingRequest ping) {
        PingResponse response = election.handlePing(ping);
        return hidesFailedWrites
                ? new PingResponse(
                        response.epoch(),
                        response.claimedEpoch(),
                        response.storeAgeMs(),
                        response.rank(),
                        0,
                        response.wouldHandOver())
                : response;
    }

    @Override
    public void stepDown(String address, long epoch, Consumer<Boolean> callback) {
        request(
                address,
                REQUEST_TIMEOUT,
                election -> {
                    election.stepDown(epoch);
                    return true;
                },
                false,
                callback);
    }

    @Override
    public void state(String address, String job, Consumer<StateResponse> callback) {
        request(
                address,
                REQUEST_TIMEOUT,
                election -> {
                    Optional<JobState> state =
                            election.leader().filter(Leader::loaded).flatMap(leader -> leader.state(job));
                    return election.leader().filter(Leader::loaded).isPresent()
                            ? new StateResponse(true, state.orElse(null))
                            : StateResponse.UNREACHABLE;
                },
                StateResponse.UNREACHABLE,
                callback);
    }

    @Override
    public void submit(String address, String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {
        Call<JobRequestHandler.Outcome> call = new Call<>(callback);
        loop.schedule(
                SUBMISSION_TIMEOUT, () -> call.end(new JobRequestHandler.Outcome.Undetermined("no response arrived")));
        Duration responseLatency = latency();
        boolean arrives = network.reaches(address);
        shared.schedule(latency(), () -> {
            SimulatedNode.NodeProcess process = network.processAt(address);
            if (process != null && arrives) {
                process.loop()
                        .execute(() -> process.election().submit(job, value, outcome -> {
                            if (network.reachedFrom(address)) {
                                shared.schedule(responseLatency, () -> loop.execute(() -> call.end(outcome)));
                            }
                        }));
            }
        });
    }

    @Override
    public void queuedJobCount(String address, String queue, Consumer<Optional<Integer>> callback) {
        request(
                address,
                REQUEST_TIMEOUT,
                election -> election.leader().flatMap(leader -> leader.queuedJobCount(queue)),
                Optional.empty(),
                callback);
    }
}
