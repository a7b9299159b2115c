package org.tamarackline.standin;

/**
 * Answer to a request that a stand-in did not carry out.
 *
 * @param detail what was wrong
 * @param applied false if the request certainly had no effect, null if that is not known
 */
public record StandinFailure(String detail, Boolean applied) {

    /** Returns the answer to a request that had no effect. */
    public static StandinFailure notApplied(String detail) {
        return new StandinFailure(detail, false);
    }
}
