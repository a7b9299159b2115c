package org.tamarackline.core.routing;

/**
 * Limits retries to a percentage of all requests, so that they cannot multiply the load of a failing upstream.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 */
public final class RetryBudget {

    /** Most retries that can accumulate. Limits the retries of a burst of failures after a time without failures. */
    private static final int MAX_ACCUMULATED_RETRIES = 20;

    private static final int RETRY_COST = 100;

    private final int percent;
    private int balance;

    /** Creates a budget of {@code percent} retries for every hundred requests. */
    public RetryBudget(int percent) {
        this.percent = percent;
    }

    /** Counts a request that is not a retry. */
    public void recordRequest() {
        balance = Math.min(balance + percent, MAX_ACCUMULATED_RETRIES * RETRY_COST);
    }

    /** Takes one retry from the budget. Returns false if the budget is used up. */
    public boolean tryAcquire() {
        if (balance < RETRY_COST) {
            return false;
        }
        balance -= RETRY_COST;
        return true;
    }
}
