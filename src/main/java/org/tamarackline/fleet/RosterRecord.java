package org.tamarackline.fleet;

import org.tamarackline.core.fleet.RunnerDescriptor;

/**
 * A runner that may have got orders, as stored.
 *
 * @param runner what the directory said about the runner
 * @param leaseEndStoreMs time of the store's clock after which nothing that was ordered on the runner has any effect; 0 if
 *     the runner is open, so that it may get further orders
 */
record RosterRecord(RunnerDescriptor runner, long leaseEndStoreMs) {

    static RosterRecord uncordoned(RunnerDescriptor runner) {
        return new RosterRecord(runner, 0);
    }

    boolean cordoned() {
        return leaseEndStoreMs != 0;
    }
}
