package org.tamarackline.fleet;

/**
 * Whether a runner is closed: stored as one that gets no orders, so that successors need not wait for it beyond a stored time.
 *
 * <p>While it is unknown what is stored, the runner gets no orders, and it is closed or opened again by a further record.
 */
final class RunnerClosure {

    private boolean closedForOrders;
    private boolean closedInStore;
    private boolean recordRequested;

    /** Takes note of the record that an earlier leader left. */
    void inherited(RosterRecord roster) {
        closedForOrders = roster.closed();
        closedInStore = roster.closed();
    }

    /** Returns whether the runner gets no start and no renewal. */
    boolean closedForOrders() {
        return closedForOrders;
    }

    /** Returns whether the record is known to close the runner. */
    boolean closedInStore() {
        return closedInStore;
    }

    /** Returns whether a record that closes or opens the runner is to be stored. */
    boolean recordRequested() {
        return recordRequested;
    }

    void requestRecord() {
        recordRequested = true;
    }

    /** The requested record is not needed any more. */
    void withdrawRecord() {
        recordRequested = false;
    }

    /** The record that closes the runner is being sent. */
    void closing() {
        closedForOrders = true;
    }

    /** The record that closes the runner is stored. */
    void closed() {
        closedInStore = true;
        recordRequested = false;
    }

    /** The record that opens the runner is being sent. */
    void opening() {
        closedInStore = false;
    }

    /** The record that opens the runner is stored. */
    void opened() {
        closedForOrders = false;
        recordRequested = false;
    }
}
