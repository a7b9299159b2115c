package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Optional;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Decides by a node's capacity how soon it claims a leadership that no node has had, and when it hands over as leader to a
 * node that has more.
 *
 * <p>A leader that is short of processor time polls its runners late, so that their leases expire. It can hand over in
 * order before that happens: after its resignation it renews the leases until its successor does.
 */
final class CapacityPolicy {

    /** Time for which a leader leads at least, in which it renews the leases that it took over. */
    private static final Duration MIN_LEADING_TIME = Duration.ofSeconds(1);

    /**
     * Time for which a leader leads at least before it hands over to a node that lacks the capacity, too. Each leader has to
     * find silent runners again, and their leases of 5 s end meanwhile, so that their tasks can start.
     */
    private static final Duration MIN_LEADING_TIME_BEFORE_PARTIAL_GAIN = Duration.ofSeconds(5);

    /** Age of a successor's last ping up to which it counts as reachable; it pings more than twice in this time. */
    private static final Duration MAX_PING_AGE = Duration.ofSeconds(1);

    /** Time without a further handover after one in which no node took over. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(60);

    /** Factor between the processor times of two nodes from which on a handover is worth its cost. */
    private static final int MIN_CPU_FACTOR = 2;

    /** Capacity of a node that claims a leadership which no node has had, without delay. */
    private static final int FIRST_LEADER_CPU_MILLIS = 500;

    private static final Duration FIRST_CLAIM_DELAY = Duration.ofMillis(700);

    private final MonotonicClock clock;
    private final NodeCapacity own;
    private long earliestHandoverNanos;
    private long earliestPartialGainNanos;

    CapacityPolicy(MonotonicClock clock, NodeCapacity own) {
        this.clock = clock;
        this.own = own;
    }

    /** Returns the delay before this node claims a leadership that no node has had. */
    Duration firstClaimDelay() {
        boolean small = !own.equals(NodeCapacity.UNKNOWN) && own.cpuMillis() < FIRST_LEADER_CPU_MILLIS;
        return small ? FIRST_CLAIM_DELAY : Duration.ZERO;
    }

    void onStartedToLead() {
        long nowNanos = clock.nowNanos();
        earliestHandoverNanos = Math.max(earliestHandoverNanos, nowNanos + MIN_LEADING_TIME.toNanos());
        earliestPartialGainNanos = nowNanos + MIN_LEADING_TIME_BEFORE_PARTIAL_GAIN.toNanos();
    }

    /** The leader resigned, but no node took over. */
    void onNotSucceeded() {
        earliestHandoverNanos = clock.nowNanos() + RETRY_INTERVAL.toNanos();
    }

    /**
     * Returns why the leader should hand over now; empty if it should lead on.
     *
     * @param runners number of runners of the fleet
     * @param successors nodes that may succeed the leader
     */
    Optional<String> reasonToHandOver(int runners, Successors successors) {
        NodeCapacity required = NodeCapacity.requiredToLead(runners);
        if (!mayHandOver(required)) {
            return Optional.empty();
        }
        return successors
                .firstThatWrites(MAX_PING_AGE)
                .filter(first -> isBetter(first.capacity(), required))
                .map(first -> "%d runners need %s; this node has %s, %s has %s"
                        .formatted(runners, required, own, first.node(), first.capacity()));
    }

    /**
     * Returns whether the leader would hand over now to a node, if the store answers the transactions of that node.
     *
     * @param runners number of runners of the fleet
     * @param other capacity of the node
     */
    boolean wouldHandOverTo(NodeCapacity other, int runners) {
        NodeCapacity required = NodeCapacity.requiredToLead(runners);
        return mayHandOver(required) && isBetter(other, required);
    }

    private boolean mayHandOver(NodeCapacity required) {
        return !own.covers(required) && clock.nowNanos() - earliestHandoverNanos >= 0;
    }

    /** Returns the node that should take over if the leader resigns now; empty if none has pinged it lately. */
    static Optional<String> successor(Successors successors) {
        return successors
                .firstThatWrites(MAX_PING_AGE)
                .or(() -> successors.first(MAX_PING_AGE))
                .map(Successors.Successor::node);
    }

    /**
     * Returns whether a node can lead the fleet, or at least has far more processor time than this one, which has led for
     * long enough.
     */
    private boolean isBetter(NodeCapacity other, NodeCapacity required) {
        return other.covers(required)
                || (clock.nowNanos() - earliestPartialGainNanos >= 0
                        && other.cpuMillis() >= MIN_CPU_FACTOR * Math.max(1, own.cpuMillis()));
    }
}
