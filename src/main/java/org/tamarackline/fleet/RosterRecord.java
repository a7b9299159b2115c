package org.tamarackline.fleet;

import java.util.Set;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.model.Resources;

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

    /**
     * Returns a record for a runner whose own record cannot be read. Tasks may run on it, so it is waited for like a
     * silent runner until the directory names its address or the leases of earlier leaders have ended.
     */
    static RosterRecord unreadable(String id) {
        return uncordoned(new RunnerDescriptor(id, 0, "", "", "", "", false, Resources.NONE, Set.of()));
    }

    boolean cordoned() {
        return leaseEndStoreMs != 0;
    }
}
