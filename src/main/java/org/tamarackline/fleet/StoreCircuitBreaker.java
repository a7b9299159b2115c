package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Circuit breaker for the transactions of requests.
 *
 * <p>After a failure or a slow transaction, submissions are not sent to the store but to the leader, until the leader
 * stores one quickly. Without a leader that takes them, a single one tries again at intervals, but only while the store
 * answers other calls of this node, so that none waits for a store that is down. Cancellations are not passed on, so they
 * are rejected only after two failures, and try again sooner.
 */
final class StoreCircuitBreaker {

    /** Duration from which on a transaction counts as a failure, many times that of one on a healthy store. */
    private static final Duration SLOW_TRANSACTION = Duration.ofMillis(300);

    /** Interval of the attempts while there is no leader that takes submissions. */
    private static final Duration SUBMISSION_PROBE_INTERVAL = Duration.ofSeconds(1);

    /** Consecutive submissions that were passed on in vain before the leader counts as absent. */
    private static final int REFUSALS_OF_AN_ABSENT_LEADER = 2;

    private static final int FAILURES_BEFORE_CANCELLATIONS_WAIT = 2;
    private static final Duration CANCELLATION_PROBE_INTERVAL = Duration.ofMillis(300);

    private final MonotonicClock clock;
    private final StoreContact contact;
    private int consecutiveFailures;
    private int unansweredRequests;
    private long lastRequestNanos;
    private int consecutiveRefusalsByLeader;

    StoreCircuitBreaker(MonotonicClock clock, StoreContact contact) {
        this.clock = clock;
        this.contact = contact;
    }

    /** Returns whether a submission may be sent to the store now, and if so, records it as sent. */
    boolean tryAcquireForSubmission() {
        boolean probeDue = consecutiveRefusalsByLeader >= REFUSALS_OF_AN_ABSENT_LEADER
                && contact.answering()
                && unansweredRequests == 0
                && lastRequestOlderThan(SUBMISSION_PROBE_INTERVAL);
        boolean slow = unansweredRequests > 0 && lastRequestOlderThan(SLOW_TRANSACTION);
        return acquireIf((consecutiveFailures == 0 && !slow) || probeDue);
    }

    /** Returns whether a cancellation may be sent to the store now, and if so, records it as sent. */
    boolean tryAcquireForCancellation() {
        return acquireIf(consecutiveFailures < FAILURES_BEFORE_CANCELLATIONS_WAIT
                || lastRequestOlderThan(CANCELLATION_PROBE_INTERVAL));
    }

    private boolean lastRequestOlderThan(Duration time) {
        return clock.nowNanos() - lastRequestNanos >= time.toNanos();
    }

    private boolean acquireIf(boolean permitted) {
        if (permitted) {
            lastRequestNanos = clock.nowNanos();
            unansweredRequests++;
        }
        return permitted;
    }

    /**
     * Records a transaction that was executed.
     *
     * @param tookNanos time from the request to the response
     */
    void onSuccess(long tookNanos) {
        unansweredRequests--;
        consecutiveFailures = tookNanos >= SLOW_TRANSACTION.toNanos() ? consecutiveFailures + 1 : 0;
    }

    void onFailure() {
        unansweredRequests--;
        consecutiveFailures++;
    }

    /**
     * Records a submission that was passed on to the leader.
     *
     * @param tookNanos time from the request to the response
     */
    void onPassedOn(boolean accepted, long tookNanos) {
        consecutiveRefusalsByLeader = accepted ? 0 : consecutiveRefusalsByLeader + 1;
        if (accepted && tookNanos < SLOW_TRANSACTION.toNanos() && contact.answering()) {
            consecutiveFailures = 0;
        }
    }
}
