package org.tamarackline.fleet;

import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.JobState;

/** Client for requests to other nodes. Responses arrive on the event loop. */
public interface PeerCalls {

    /** Pings the leader. */
    void ping(String address, PingRequest request, Consumer<PingResult> callback);

    /**
     * Requests a node to end any leader with a lower epoch, and never again to lead with a lower epoch.
     *
     * @param callback receives whether the node confirmed it
     */
    void stepDown(String address, long epoch, Consumer<Boolean> callback);

    /**
     * Requests the state of a job from the leader; {@link StateResponse#UNREACHABLE} if no response arrived in time.
     */
    void state(String address, String job, Consumer<StateResponse> callback);

    /**
     * Passes a submission on to the leader, which stores it unless it is stored already.
     *
     * @param value record of the job
     */
    void submit(String address, String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback);

    /** Requests the number of queued jobs of a queue from the leader; empty if no response arrived in time. */
    void queuedJobCount(String address, String queue, Consumer<Optional<Integer>> callback);

    /**
     * Ping of a node that may succeed the leader.
     *
     * @param node name of the pinging node
     * @param capacity capacity of the pinging node
     * @param answeredEpoch epoch of the leader that answered the previous ping of the node, 0 if none did
     * @param writeStatus what becomes of the node's transactions; empty if it runs an earlier version of this program
     */
    record PingRequest(String node, NodeCapacity capacity, long answeredEpoch, Optional<WriteStatus> writeStatus) {

        /** Creates a ping of a node that follows no leader and does not tell what becomes of its transactions. */
        PingRequest(String node, NodeCapacity capacity) {
            this(node, capacity, 0, Optional.empty());
        }

        /** Returns the same ping after an answer of a leader, or after none if the epoch is 0. */
        PingRequest withAnsweredEpoch(long epoch) {
            return new PingRequest(node, capacity, epoch, writeStatus);
        }

        /** Returns the same ping with another status of the node's transactions. */
        PingRequest withWriteStatus(Optional<WriteStatus> nextWriteStatus) {
            return new PingRequest(node, capacity, answeredEpoch, nextWriteStatus);
        }
    }

    /**
     * What becomes of a node's transactions.
     *
     * @param unansweredMs time for which the store has answered none of them, in milliseconds
     * @param probeAnswered whether the store has answered a {@link WriteProbe} lately
     */
    record WriteStatus(long unansweredMs, boolean probeAnswered) {}

    /** Result of a ping. */
    sealed interface PingResult {}

    /**
     * No response arrived in time, or none that can be read.
     *
     * @param cause what happened instead
     */
    record PingFailure(String cause) implements PingResult {}

    /**
     * Response to a ping.
     *
     * @param epoch epoch that the node leads with, 0 if it does not lead
     * @param claimedEpoch epoch of a claim of the node whose outcome it does not know yet, 0 if there is none
     * @param storeAgeMs time since the store's last response to the node, in milliseconds
     * @param rank rank of the pinging node among those that may succeed the leader, from 0
     * @param unansweredWritesMs time for which the store has answered no transaction of the node, in milliseconds; 0 if the
     *     node runs an earlier version of this program
     * @param wouldHandOver whether the node would hand over to the pinging one once the store has answered a {@link WriteProbe} of
     *     that
     */
    record PingResponse(
            long epoch, long claimedEpoch, long storeAgeMs, int rank, long unansweredWritesMs, boolean wouldHandOver)
            implements PingResult {}

    /**
     * Response to a state request.
     *
     * @param reached whether the leader answered
     * @param state state of the job, null if the leader does not know it
     */
    record StateResponse(boolean reached, JobState state) {

        /** No response arrived. */
        public static final StateResponse UNREACHABLE = new StateResponse(false, null);
    }
}
