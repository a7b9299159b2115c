package org.tamarackline.fleet.losses;

/**
 * A span of time.
 *
 * @param fromMs start in milliseconds since 1970
 * @param toMs end in milliseconds since 1970, not part of the span
 */
record Span(long fromMs, long toMs) {

    boolean contains(long timeMs) {
        return timeMs >= fromMs && timeMs < toMs;
    }
}
