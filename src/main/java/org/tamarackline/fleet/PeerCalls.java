package org.tamarackline.fleet;

import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.JobState;

/** Questions to another node. Answers arrive on the event loop. */
public interface PeerCalls {

    /** Asks a leader whether it is well; the answer is empty if none arrived in time. */
    void ping(String address, String callerNode, Consumer<Optional<PingResponse>> callback);

    /**
     * Asks a node to end any leader of a lower epoch, and never to lead with a lower epoch.
     *
     * @param callback gets whether the node has answered that it did
     */
    void stepDown(String address, long epoch, Consumer<Boolean> callback);

    /** Asks a leader for the state of a job; {@link StateResponse#UNREACHABLE} if no answer arrived in time. */
    void state(String address, String job, Consumer<StateResponse> callback);

    /** Asks a leader how many jobs of a queue wait; empty if no answer arrived in time. */
    void queuedJobCount(String address, String queue, Consumer<Optional<Integer>> callback);

    /**
     * Answer of a leader that is asked whether it is well.
     *
     * @param epoch epoch that the node leads, 0 if it does not
     * @param claimedEpoch epoch of a claim of the node whose outcome it does not know yet, 0 if there is none
     * @param storeAgeMs time since the store last answered it, in milliseconds
     * @param rank position of the asking node among those that may succeed the leader, from 0
     */
    record PingResponse(long epoch, long claimedEpoch, long storeAgeMs, int rank) {}

    /**
     * Answer to a question for a state.
     *
     * @param reached whether the leader answered
     * @param state state of the job, null if the leader does not know it
     */
    record StateResponse(boolean reached, JobState state) {

        /** No answer. */
        public static final StateResponse UNREACHABLE = new StateResponse(false, null);
    }
}
