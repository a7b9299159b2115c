package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/** Time for which a runner has left polls unanswered. */
final class PollSilence {

    /**
     * Consecutive unanswered polls before a runner can count as silent for a period; a single one may be due to a
     * broken connection.
     */
    private static final int MIN_MISSED_POLLS = 2;

    private final MonotonicClock clock;
    private int missedPolls;
    private long firstMissedPollNanos;

    PollSilence(MonotonicClock clock) {
        this.clock = clock;
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
    }

    void onAnswer() {
        missedPolls = 0;
    }

    /** Returns the number of consecutive unanswered polls. */
    int missedPolls() {
        return missedPolls;
    }

    /** Returns the time since the first of the consecutive unanswered polls was sent, 0 if there is none. */
    long nanos() {
        return missedPolls == 0 ? 0 : clock.nowNanos() - firstMissedPollNanos;
    }

    /** Returns whether a poll that was sent at least {@code time} ago and a further one are unanswered. */
    boolean longerThan(Duration time) {
        return missedPolls >= MIN_MISSED_POLLS && clock.nowNanos() - firstMissedPollNanos >= time.toNanos();
    }
}
