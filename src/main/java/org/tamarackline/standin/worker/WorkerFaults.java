package org.tamarackline.standin.worker;

/**
 * Fault switches of the worker stand-in.
 *
 * @param failStarts whether every start fails
 * @param silent accept requests and never answer, without effect
 * @param delayMs delay before each command takes effect, in milliseconds
 * @param refuse answer every command with status 503 and without effect
 * @param loseAnswers number of coming commands that take effect and whose connection is closed without an answer
 */
public record WorkerFaults(boolean failStarts, boolean silent, long delayMs, boolean refuse, int loseAnswers) {

    /** No fault. */
    public static final WorkerFaults NONE = new WorkerFaults(false, false, 0, false, 0);

    WorkerFaults withLoseAnswers(int count) {
        return new WorkerFaults(failStarts, silent, delayMs, refuse, count);
    }
}
