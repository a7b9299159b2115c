package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Tells for how long the store has answered none of this node's transactions, whatever it answers to reads.
 *
 * <p>A refusal for now and a missing answer do not count as answers; a conflict and a rejection do, because the store has
 * handled the transaction.
 */
final class UnansweredWrites {

    /** Age of the last transaction beyond which nothing is known of the next one. */
    private static final Duration MAX_ATTEMPT_AGE = Duration.ofSeconds(5);

    private final MonotonicClock clock;
    private boolean unanswered;
    private long sinceNanos;
    private long lastSentNanos;

    UnansweredWrites(MonotonicClock clock) {
        this.clock = clock;
    }

    void onSent() {
        lastSentNanos = clock.nowNanos();
        if (!unanswered) {
            unanswered = true;
            sinceNanos = lastSentNanos;
        }
    }

    /**
     * Records an answer.
     *
     * @param sentNanos when the transaction was sent that is answered
     */
    void onAnswered(long sentNanos) {
        unanswered = lastSentNanos - sentNanos > 0;
        sinceNanos = clock.nowNanos();
    }

    /** Returns for how long no transaction has been answered, in milliseconds; 0 if the last one was, or none is recent. */
    long forMs() {
        long nowNanos = clock.nowNanos();
        boolean recent = nowNanos - lastSentNanos <= MAX_ATTEMPT_AGE.toNanos();
        return unanswered && recent ? (nowNanos - sinceNanos) / 1_000_000 : 0;
    }
}
