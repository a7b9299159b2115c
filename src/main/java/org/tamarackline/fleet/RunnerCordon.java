package org.tamarackline.fleet;

/**
 * State of a runner's cordon. A cordoned runner is stored as one that gets no commands, together with the time by which
 * its lease has expired, so that successors need not wait for it beyond that time.
 *
 * <p>While it is unknown whether a write of the cordon took effect, the runner gets no commands; a further write
 * cordons or uncordons it.
 */
final class RunnerCordon {

    private boolean commandsBlocked;
    private boolean stored;
    private boolean writeRequested;

    /** Restores the cordon from the roster record of an earlier leader. */
    void restore(RosterRecord roster) {
        commandsBlocked = roster.cordoned();
        stored = roster.cordoned();
    }

    /** Returns whether the runner gets neither starts nor lease renewals. */
    boolean commandsBlocked() {
        return commandsBlocked;
    }

    /** Returns whether the cordon is known to be stored. */
    boolean stored() {
        return stored;
    }

    /** Returns whether a write that cordons or uncordons the runner has been requested. */
    boolean writeRequested() {
        return writeRequested;
    }

    void requestWrite() {
        writeRequested = true;
    }

    /** Records that the requested write is no longer needed. */
    void withdrawWrite() {
        writeRequested = false;
    }

    /** Records that the write that cordons the runner is being sent. */
    void onCordonSent() {
        commandsBlocked = true;
    }

    /** Records that the write that cordons the runner has been stored. */
    void onCordonStored() {
        stored = true;
        writeRequested = false;
    }

    /** Records that the write that uncordons the runner is being sent. */
    void onUncordonSent() {
        stored = false;
    }

    /** Records that the write that uncordons the runner has been stored. */
    void onUncordonStored() {
        commandsBlocked = false;
        writeRequested = false;
    }
}
