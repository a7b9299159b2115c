package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/** Polls that a runner has left unanswered, and since when an answer is overdue. */
final class PollSilence {

    private final MonotonicClock clock;
    private int missedPolls;
    private long firstMissedPollNanos;
    private boolean answerAwaited;
    /** When the answer was due to the oldest poll since the last answered one. */
    private long answerDueNanos;
    /** By how much the last answer was late, 0 if polls before it were not answered. */
    private long lastLatenessNanos;

    PollSilence(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records that a poll was sent.
     *
     * @param dueNanos when the runner is to answer at the latest
     */
    void onPollSent(long dueNanos) {
        if (!answerAwaited) {
            answerAwaited = true;
            answerDueNanos = dueNanos;
        }
    }

    /**
     * Records an unanswered poll.
     *
     * @param sentNanos when the poll was sent
     */
    void onMissedPoll(long sentNanos) {
        if (missedPolls == 0) {
            firstMissedPollNanos = sentNanos;
        }
        missedPolls++;
        long nowNanos = clock.nowNanos();
        if (!answerAwaited || answerDueNanos - nowNanos > 0) {
            answerAwaited = true;
            answerDueNanos = nowNanos;
        }
    }

    void onAnswer() {
        boolean late = answerAwaited && missedPolls == 0;
        lastLatenessNanos = late ? Math.max(0, clock.nowNanos() - answerDueNanos) : 0;
        missedPolls = 0;
        answerAwaited = false;
    }

    /** Returns the number of consecutive unanswered polls. */
    int missedPolls() {
        return missedPolls;
    }

    /** Returns the time since the first of the consecutive unanswered polls was sent, 0 if there is none. */
    long nanos() {
        return missedPolls == 0 ? 0 : clock.nowNanos() - firstMissedPollNanos;
    }

    /**
     * Returns whether the answer to a poll has been due for {@code time}, and for the time by which the last answer was late,
     * and no later poll is answered.
     */
    boolean overdueFor(Duration time) {
        return answerAwaited && clock.nowNanos() - answerDueNanos >= time.toNanos() + lastLatenessNanos;
    }
}
