package org.tamarackline.standin.platform;

/**
 * Fault switches of the platform stand-in.
 *
 * @param down refuse every call with status 503 and without effect
 * @param delayMs delay before each call takes effect, in milliseconds
 * @param loseAnswers number of coming writes that take effect and whose connection is closed without an answer
 * @param silent accept requests and never answer, without effect
 * @param vmListLagMs age of the list of VMs that is served, in milliseconds
 */
public record PlatformFaults(boolean down, long delayMs, int loseAnswers, boolean silent, long vmListLagMs) {

    /** No fault. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false, 0);

    PlatformFaults withLoseAnswers(int count) {
        return new PlatformFaults(down, delayMs, count, silent, vmListLagMs);
    }
}
