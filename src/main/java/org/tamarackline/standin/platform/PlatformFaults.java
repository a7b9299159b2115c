package org.tamarackline.standin.platform;

/**
 * Fault switches of the platform stand-in.
 *
 * @param down whether every call gets status 503 and is not executed
 * @param delayMs delay before each call is executed, in milliseconds
 * @param loseAnswers number of upcoming writes that are applied and whose connection is closed without a response
 * @param silent whether calls are accepted, not executed, and never get a response
 * @param vmListLagMs age of the list of VMs that is served, in milliseconds
 */
public record PlatformFaults(boolean down, long delayMs, int loseAnswers, boolean silent, long vmListLagMs) {

    /** No fault. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false, 0);

    PlatformFaults withLoseAnswers(int count) {
        return new PlatformFaults(down, delayMs, count, silent, vmListLagMs);
    }
}
