package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Nodes that pinged this one lately and may succeed it as leader. Their rank orders their takeovers: nodes with more
 * capacity come first.
 */
final class Successors {

    /** Ping interval of the nodes that are first in line. */
    private static final Duration FIRST_PING_INTERVAL = Duration.ofMillis(400);

    /** Ping interval of the nodes after them. */
    private static final Duration PING_INTERVAL = Duration.ofMillis(1_500);

    private static final int FIRST_RANKS = 2;

    /**
     * Number of ranks with the same ping interval. Beyond them the interval grows with the rank, so that the leader of a
     * large fleet gets few more pings than that of a small one.
     */
    private static final int RANKS_PER_PING_INTERVAL = 8;

    /** Time after a missed ping of a node until it no longer counts as a successor. */
    private static final Duration EXPIRY = Duration.ofSeconds(3);

    /** Time without an answer of the store to any transaction of a node beyond which no leader resigns in favour of it. */
    private static final Duration MAX_UNANSWERED_WRITES = Duration.ofSeconds(1);

    /**
     * Node that may succeed the leader.
     *
     * @param node name of the node
     * @param capacity capacity of the node
     */
    record Successor(String node, NodeCapacity capacity) {}

    private record LastPing(Successor successor, long atNanos, int rank, Optional<PeerCalls.WriteStatus> writes) {}

    /** The strongest node first; the name decides between equal ones. */
    private static final Comparator<Successor> ORDER =
            Comparator.comparing(Successor::capacity).reversed().thenComparing(Successor::node);

    private final MonotonicClock clock;
    private final Map<String, LastPing> pings = new HashMap<>();

    Successors(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the interval at which a node pings the leader. */
    static Duration pingInterval(int rank) {
        return rank < FIRST_RANKS
                ? FIRST_PING_INTERVAL
                : PING_INTERVAL.multipliedBy(Math.max(1, rank / RANKS_PER_PING_INTERVAL));
    }

    /** Records a ping and returns the rank of its sender, from 0. */
    int onPing(PeerCalls.PingRequest request) {
        long nowNanos = clock.nowNanos();
        Successor caller = new Successor(request.node(), request.capacity());
        pings.values().removeIf(ping -> nowNanos - ping.atNanos() > expiryNanos(ping));
        int rank = (int) pings.values().stream()
                .filter(ping -> ORDER.compare(ping.successor(), caller) < 0
                        && !ping.successor().node().equals(caller.node()))
                .count();
        pings.put(caller.node(), new LastPing(caller, nowNanos, rank, request.writeStatus()));
        return rank;
    }

    private static long expiryNanos(LastPing ping) {
        return pingInterval(ping.rank()).plus(EXPIRY).toNanos();
    }

    /** Returns the first successor that has pinged this node within a time and is not known to write in vain. */
    Optional<Successor> first(Duration maxAge) {
        return first(maxAge, status -> status.unansweredMs() <= MAX_UNANSWERED_WRITES.toMillis());
    }

    /** Returns the first successor that has pinged this node within a time and that the store has lately let write. */
    Optional<Successor> firstThatWrites(Duration maxAge) {
        return first(maxAge, PeerCalls.WriteStatus::probeAnswered);
    }

    private Optional<Successor> first(Duration maxAge, Predicate<PeerCalls.WriteStatus> mayWrite) {
        long nowNanos = clock.nowNanos();
        return pings.values().stream()
                .filter(ping -> nowNanos - ping.atNanos() <= maxAge.toNanos())
                // A node of an earlier version does not tell what becomes of its transactions.
                .filter(ping -> ping.writes().map(mayWrite::test).orElse(true))
                .map(LastPing::successor)
                .min(ORDER);
    }
}
