package org.tamarackline.process.soak;

/**
 * An injected fault.
 *
 * @param target node, runner or store that it acts on
 * @param kind what was done
 * @param beginNanos when it began
 * @param endNanos when it ended; the greatest value while it lasts
 */
record Fault(String target, String kind, long beginNanos, long endNanos) {

    /** Target of faults of the store. */
    static final String STORE = "store";

    /** Returns whether the fault lasted at a time between two times. */
    boolean overlaps(long fromNanos, long toNanos) {
        return beginNanos <= toNanos && endNanos >= fromNanos;
    }
}
