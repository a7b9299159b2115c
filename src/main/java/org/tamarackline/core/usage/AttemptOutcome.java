package org.tamarackline.core.usage;

/** What a quick request was worth. */
public enum AttemptOutcome {
    /** Its answer reached the caller. */
    SERVED,
    /** An attempt whose answer was lost, so that the request was sent again. */
    REPEATED,
    /** It ended without an answer for the caller. */
    FAILED
}
