package org.tamarackline.standin.upstream;

/**
 * Fault switches of the upstream stand-in.
 *
 * @param delayMs delay before each response in addition to the service time, in milliseconds
 * @param failPercent percentage of requests that get status 500
 * @param silent whether requests are accepted and never get a response
 * @param dieInBody whether the connection is closed after half of each response body
 * @param leaving whether requests get status 503 with the header {@code Tamarackline-Leaving} and are not executed
 */
public record UpstreamFaults(long delayMs, int failPercent, boolean silent, boolean dieInBody, boolean leaving) {

    /** No fault. */
    public static final UpstreamFaults NONE = new UpstreamFaults(0, 0, false, false, false);
}
