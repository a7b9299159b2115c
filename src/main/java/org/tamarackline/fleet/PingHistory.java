package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.tamarackline.core.time.MonotonicClock;

/** What became of the pings of a leader since the last answered one, and how late this node's own steps were. */
final class PingHistory {

    /** Maximum number of failures that are kept; the oldest are dropped. */
    private static final int MAX_FAILURES = 5;

    private final MonotonicClock clock;
    private final LoopDelay loopDelay = new LoopDelay();
    private final List<String> failures = new ArrayList<>();
    private boolean answered;
    private long answeredNanos;
    private long leaderStoreAgeMs;
    private long leaderUnansweredWritesMs;

    PingHistory(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Starts the history of another leader. */
    void clear() {
        answered = false;
        failures.clear();
        loopDelay.getAndResetMaxMs();
    }

    /** Records an answer of the leader. */
    void onAnswer(PeerCalls.PingResponse response) {
        clear();
        answered = true;
        answeredNanos = clock.nowNanos();
        leaderStoreAgeMs = response.storeAgeMs();
        leaderUnansweredWritesMs = response.unansweredWritesMs();
    }

    /**
     * Records a ping without a usable answer.
     *
     * @param sentNanos when it was sent
     */
    void onFailure(String cause, long sentNanos) {
        if (failures.size() == MAX_FAILURES) {
            failures.removeFirst();
        }
        failures.add("%s after %d ms".formatted(cause, (clock.nowNanos() - sentNanos) / 1_000_000));
    }

    /** Records a step of this node's event loop that was due at a time and runs now. */
    void onStep(long dueNanos) {
        loopDelay.record(dueNanos, clock.nowNanos());
    }

    /** Returns what is known; ends the measurement of the loop delay. */
    LeaderSuspicion suspicion() {
        return new LeaderSuspicion(
                failures,
                answered ? OptionalLong.of((clock.nowNanos() - answeredNanos) / 1_000_000) : OptionalLong.empty(),
                answered ? OptionalLong.of(leaderStoreAgeMs) : OptionalLong.empty(),
                answered ? OptionalLong.of(leaderUnansweredWritesMs) : OptionalLong.empty(),
                loopDelay.getAndResetMaxMs());
    }
}
