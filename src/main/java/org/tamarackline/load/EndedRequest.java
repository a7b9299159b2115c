package org.tamarackline.load;

/**
 * A request of a load run that has ended.
 *
 * @param target base URL to which the request was sent
 * @param dueNanos time at which the request was due, of {@link System#nanoTime}
 * @param endNanos time at which it ended, of {@link System#nanoTime}
 * @param outcome outcome for the caller
 */
public record EndedRequest(String target, long dueNanos, long endNanos, RequestOutcome outcome) {}
