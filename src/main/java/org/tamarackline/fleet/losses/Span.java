package org.tamarackline.fleet.losses;

/**
 * Span of time.
 *
 * @param fromMs start in milliseconds since 1970
 * @param toMs end in milliseconds since 1970, exclusive
 */
record Span(long fromMs, long toMs) {

    boolean contains(long timeMs) {
        return timeMs >= fromMs && timeMs < toMs;
    }
}
