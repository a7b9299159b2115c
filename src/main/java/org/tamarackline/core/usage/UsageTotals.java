package org.tamarackline.core.usage;

/**
 * Counts and durations of requests or tasks, by whether their work was of use.
 *
 * @param served number of requests with a response or finished tasks
 * @param failed number of requests or tasks that failed or were cancelled
 * @param usefulMs work whose result was used, in milliseconds
 * @param repeatedMs work that had to be repeated because its result was lost, in milliseconds
 * @param thrownAwayMs work whose result was not used, in milliseconds
 */
public record UsageTotals(long served, long failed, long usefulMs, long repeatedMs, long thrownAwayMs) {

    /** Totals without any usage. */
    public static final UsageTotals NONE = new UsageTotals(0, 0, 0, 0, 0);

    /** Returns these totals minus {@code other}. */
    public UsageTotals minus(UsageTotals other) {
        return new UsageTotals(
                served - other.served,
                failed - other.failed,
                usefulMs - other.usefulMs,
                repeatedMs - other.repeatedMs,
                thrownAwayMs - other.thrownAwayMs);
    }

    /** Returns the sum of both totals. */
    public UsageTotals plus(UsageTotals other) {
        return new UsageTotals(
                served + other.served,
                failed + other.failed,
                usefulMs + other.usefulMs,
                repeatedMs + other.repeatedMs,
                thrownAwayMs + other.thrownAwayMs);
    }
}
