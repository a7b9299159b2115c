package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Random;

/**
 * Delays of successive retries. They double up to a maximum; each is shortened at random by up to a half, so that the
 * nodes of a fleet do not retry at the same time.
 */
final class RetryBackoff {

    /** Longest delay between two attempts of a read, so that it succeeds soon after an outage of any length. */
    private static final Duration MAX_READ_RETRY_DELAY = Duration.ofSeconds(1);

    private final Duration initialDelay;
    private final Duration maxDelay;
    private final Random random;
    private Duration nextDelay;

    RetryBackoff(Duration initialDelay, Duration maxDelay, Random random) {
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.random = random;
        this.nextDelay = initialDelay;
    }

    /** Creates the delays for a read of the store that every node repeats until it succeeds. */
    static RetryBackoff forReads(Random random) {
        return new RetryBackoff(FleetConstants.STORE_RETRY_DELAY, MAX_READ_RETRY_DELAY, random);
    }

    /** Returns the delay before the next retry. */
    Duration next() {
        Duration delay = nextDelay;
        Duration doubled = delay.multipliedBy(2);
        nextDelay = doubled.compareTo(maxDelay) < 0 ? doubled : maxDelay;
        return Duration.ofNanos((long) (delay.toNanos() * (1 - random.nextDouble() / 2)));
    }

    /** Returns the delay before the next retry, or a longer one. */
    Duration nextAtLeast(Duration shortest) {
        Duration delay = next();
        return delay.compareTo(shortest) > 0 ? delay : shortest;
    }

    /** Records a success. */
    void reset() {
        nextDelay = initialDelay;
    }
}
