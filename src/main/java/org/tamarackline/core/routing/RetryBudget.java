package org.tamarackline.core.routing;

/**
 * Limits repeated requests to a share of all requests, so that retries cannot multiply the load of an upstream that fails.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 */
public final class RetryBudget {

    /** Retries that may be saved up, so that a burst of failures after a quiet time is bounded. */
    private static final int MAX_ACCUMULATED_RETRIES = 20;

    private static final int RETRY_COST = 100;

    private final int percent;
    private int balance;

    /** Creates a budget of {@code percent} retries per hundred requests. */
    public RetryBudget(int percent) {
        this.percent = percent;
    }

    /** Counts a request that is not a retry. */
    public void recordRequest() {
        balance = Math.min(balance + percent, MAX_ACCUMULATED_RETRIES * RETRY_COST);
    }

    /** Takes one retry from the budget. Returns false, and takes nothing, if the budget is used up. */
    public boolean tryAcquire() {
        if (balance < RETRY_COST) {
            return false;
        }
        balance -= RETRY_COST;
        return true;
    }
}
