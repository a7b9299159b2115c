package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the delays of retries. */
class RetryBackoffTest {

    private static final Duration INITIAL = Duration.ofMillis(100);
    private static final Duration MAX = Duration.ofMillis(500);

    private final RetryBackoff backoff = new RetryBackoff(INITIAL, MAX, new Random(1));

    /** Guards against retries that flood a store which has failed for long, and against ever longer outages. */
    @Test
    void delaysGrowUpToTheMaximum() {
        assertThat(backoff.next()).isBetween(INITIAL.dividedBy(2), INITIAL);
        assertThat(backoff.next()).isBetween(INITIAL, INITIAL.multipliedBy(2));
        for (int i = 0; i < 10; i++) {
            assertThat(backoff.next()).isLessThanOrEqualTo(MAX);
        }
        assertThat(backoff.next()).isGreaterThanOrEqualTo(MAX.dividedBy(2));
    }

    /** Guards against a long delay after a short failure that follows a long one. */
    @Test
    void successResetsTheDelay() {
        for (int i = 0; i < 10; i++) {
            backoff.next();
        }
        backoff.reset();
        assertThat(backoff.next()).isLessThanOrEqualTo(INITIAL);
    }

    /** Guards against nodes that all retry at the same moment. */
    @Test
    void nodesRetryAtDifferentTimes() {
        RetryBackoff other = new RetryBackoff(INITIAL, MAX, new Random(2));
        assertThat(backoff.next()).isNotEqualTo(other.next());
    }
}
