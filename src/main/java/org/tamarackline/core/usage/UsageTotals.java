package org.tamarackline.core.usage;

/**
 * Amounts of work.
 *
 * @param served requests answered or tasks finished
 * @param failed requests or tasks that failed or were cancelled
 * @param usefulMs work that served somebody, in milliseconds
 * @param repeatedMs work done once more because its first result was lost, in milliseconds
 * @param thrownAwayMs work without any use, in milliseconds
 */
public record UsageTotals(long served, long failed, long usefulMs, long repeatedMs, long thrownAwayMs) {

    /** Nothing. */
    public static final UsageTotals NONE = new UsageTotals(0, 0, 0, 0, 0);

    /** Returns this amount less {@code other}. */
    public UsageTotals minus(UsageTotals other) {
        return new UsageTotals(
                served - other.served,
                failed - other.failed,
                usefulMs - other.usefulMs,
                repeatedMs - other.repeatedMs,
                thrownAwayMs - other.thrownAwayMs);
    }

    /** Returns the sum of both amounts. */
    public UsageTotals plus(UsageTotals other) {
        return new UsageTotals(
                served + other.served,
                failed + other.failed,
                usefulMs + other.usefulMs,
                repeatedMs + other.repeatedMs,
                thrownAwayMs + other.thrownAwayMs);
    }
}
