package org.tamarackline.standin;

/**
 * Response body for a request that failed.
 *
 * @param detail description of the failure
 * @param applied false if the request certainly had no effect, null if that is unknown
 */
public record StandinFailure(String detail, Boolean applied) {

    /** Returns the response body for a request that had no effect. */
    public static StandinFailure notApplied(String detail) {
        return new StandinFailure(detail, false);
    }
}
