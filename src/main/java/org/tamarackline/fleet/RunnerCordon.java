package org.tamarackline.fleet;

/**
 * Whether a runner is closed: stored as one that gets no orders, so that successors need not wait for it beyond a stored time.
 *
 * <p>While it is unknown what is stored, the runner gets no orders, and it is closed or opened again by a further record.
 */
final class RunnerCordon {

    private boolean commandsBlocked;
    private boolean stored;
    private boolean writeRequested;

    /** Takes note of the record that an earlier leader left. */
    void restore(RosterRecord roster) {
        commandsBlocked = roster.cordoned();
        stored = roster.cordoned();
    }

    /** Returns whether the runner gets no start and no renewal. */
    boolean commandsBlocked() {
        return commandsBlocked;
    }

    /** Returns whether the record is known to close the runner. */
    boolean stored() {
        return stored;
    }

    /** Returns whether a record that closes or opens the runner is to be stored. */
    boolean writeRequested() {
        return writeRequested;
    }

    void requestWrite() {
        writeRequested = true;
    }

    /** The requested record is not needed any more. */
    void withdrawWrite() {
        writeRequested = false;
    }

    /** The record that closes the runner is being sent. */
    void onCordonSent() {
        commandsBlocked = true;
    }

    /** The record that closes the runner is stored. */
    void onCordonStored() {
        stored = true;
        writeRequested = false;
    }

    /** The record that opens the runner is being sent. */
    void onUncordonSent() {
        stored = false;
    }

    /** The record that opens the runner is stored. */
    void onUncordonStored() {
        commandsBlocked = false;
        writeRequested = false;
    }
}
