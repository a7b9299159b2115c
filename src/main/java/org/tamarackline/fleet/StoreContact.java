package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/** Tells since when the store has answered this node without a failed call. */
final class StoreContact {

    /** Age of the last answer beyond which a failure may only not have been noticed yet. */
    private static final Duration MAX_ANSWER_AGE = Duration.ofMillis(1_200);

    private final MonotonicClock clock;
    private final UnansweredWrites unansweredWrites;
    private boolean answering;
    private long answeringSinceNanos;
    private long lastAnswerNanos;
    private boolean failed;
    private long lastFailureNanos;

    StoreContact(MonotonicClock clock) {
        this.clock = clock;
        this.unansweredWrites = new UnansweredWrites(clock);
        this.lastAnswerNanos = clock.nowNanos();
    }

    /** The store has executed a call of this node, or has found that a condition of it does not hold. */
    void onAnswer() {
        lastAnswerNanos = clock.nowNanos();
        if (!answering) {
            answering = true;
            answeringSinceNanos = lastAnswerNanos;
        }
    }

    /** The store has refused a call of this node or left it without an answer. */
    void onFailure() {
        answering = false;
        failed = true;
        lastFailureNanos = clock.nowNanos();
    }

    /** Returns which transactions of this node are not answered, whatever the store answers to reads. */
    UnansweredWrites unansweredWrites() {
        return unansweredWrites;
    }

    /** Returns the time of the clock by which contact is measured. */
    long nowNanos() {
        return clock.nowNanos();
    }

    /** Returns whether a call was answered after a time, and none has failed since. */
    boolean answeredSince(long nanos) {
        return answering && lastAnswerNanos - nanos >= 0;
    }

    /** Returns whether the last call that ended was answered. */
    boolean answering() {
        return answering;
    }

    /** Returns whether a call has failed within a time. */
    boolean failedWithin(Duration time) {
        return failed && clock.nowNanos() - lastFailureNanos <= time.toNanos();
    }

    /** Returns the time since the last answer, in milliseconds. */
    long answerAgeMs() {
        return (clock.nowNanos() - lastAnswerNanos) / 1_000_000;
    }

    /** Returns whether no call has failed for a time, and the last answer is recent. */
    boolean uninterruptedFor(Duration time) {
        return answering
                && clock.nowNanos() - answeringSinceNanos >= time.toNanos()
                && answerAgeMs() <= MAX_ANSWER_AGE.toMillis();
    }
}
