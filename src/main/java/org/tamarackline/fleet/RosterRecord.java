package org.tamarackline.fleet;

import org.tamarackline.core.fleet.RunnerDescriptor;

/**
 * Stored record of a runner that may have received commands.
 *
 * @param runner directory entry of the runner
 * @param leaseEndStoreMs time on the store's clock by which the lease of a cordoned runner has expired, so that no
 *     command to it has any effect; 0 if the runner is not cordoned and may get further commands
 */
record RosterRecord(RunnerDescriptor runner, long leaseEndStoreMs) {

    static RosterRecord uncordoned(RunnerDescriptor runner) {
        return new RosterRecord(runner, 0);
    }

    boolean cordoned() {
        return leaseEndStoreMs != 0;
    }
}
