package org.tamarackline.core.usage;

/** The outcome of one attempt of a latency-critical request, by which its work is counted as usage. */
public enum AttemptOutcome {
    /** The response reached the caller. */
    SERVED,
    /** The response was lost, so that the request was sent again. */
    REPEATED,
    /** The request ended without a response for the caller. */
    FAILED
}
