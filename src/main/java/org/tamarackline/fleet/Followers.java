package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.tamarackline.core.time.MonotonicClock;

/** Nodes that follow a leader: they have received an answer of it and have pinged it since. */
final class Followers {

    /** Longer than the ping interval of all but the last nodes of a large fleet. */
    private static final Duration MAX_AGE = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final Map<String, Long> pingedNanos = new HashMap<>();

    Followers(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records a ping of a node that has received the answer to its previous one. */
    void onPing(String node) {
        pingedNanos.put(node, clock.nowNanos());
    }

    /** Returns the number of nodes that have followed the leader until now. */
    int count() {
        long nowNanos = clock.nowNanos();
        pingedNanos.values().removeIf(atNanos -> nowNanos - atNanos > MAX_AGE.toNanos());
        return pingedNanos.size();
    }
}
