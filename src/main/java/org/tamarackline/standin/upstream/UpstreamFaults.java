package org.tamarackline.standin.upstream;

/**
 * Fault switches of the upstream stand-in.
 *
 * @param delayMs delay before each answer besides the service time, in milliseconds
 * @param failPercent requests in a hundred that are answered with status 500
 * @param silent accept requests and never answer
 * @param dieInBody close the connection after half of each answer's body
 * @param leaving answer status 503 with the header {@code Tamarackline-Leaving} and without effect
 */
public record UpstreamFaults(long delayMs, int failPercent, boolean silent, boolean dieInBody, boolean leaving) {

    /** No fault. */
    public static final UpstreamFaults NONE = new UpstreamFaults(0, 0, false, false, false);
}
