package org.tamarackline.standin.worker;

/**
 * Fault switches of the worker stand-in.
 *
 * @param failStarts whether every start fails
 * @param silent whether commands are accepted, not executed, and never get a response
 * @param delayMs delay before each command is executed, in milliseconds
 * @param refuse whether every command gets status 503 and is not executed
 * @param loseAnswers number of upcoming commands that are executed and whose connection is closed without a response
 */
public record WorkerFaults(boolean failStarts, boolean silent, long delayMs, boolean refuse, int loseAnswers) {

    /** No fault. */
    public static final WorkerFaults NONE = new WorkerFaults(false, false, 0, false, 0);

    WorkerFaults withLoseAnswers(int count) {
        return new WorkerFaults(failStarts, silent, delayMs, refuse, count);
    }
}
