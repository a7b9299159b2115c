package org.tamarackline.fleet;

import org.tamarackline.core.fleet.RunnerDescriptor;

/**
 * A runner that may have got orders, as stored.
 *
 * @param runner what the directory said about the runner
 * @param closedUntilStoreMs time of the store's clock after which nothing that was ordered on the runner has any effect; 0 if
 *     the runner is open, so that it may get further orders
 */
record RosterRecord(RunnerDescriptor runner, long closedUntilStoreMs) {

    static RosterRecord open(RunnerDescriptor runner) {
        return new RosterRecord(runner, 0);
    }

    boolean closed() {
        return closedUntilStoreMs != 0;
    }
}
