package org.tamarackline.core.fleet;

import java.util.Set;

import org.tamarackline.core.model.Resources;

/**
 * The directory entry of a runner.
 *
 * @param id identifier of the runner
 * @param processStartEpochMs start of the runner's process in milliseconds since 1970, 0 if unknown; identifies its
 *     incarnation
 * @param service service that the runner belongs to
 * @param address host and port
 * @param dataCentre data centre of the runner
 * @param rack rack of the runner, empty if unknown
 * @param draining whether the runner is about to leave
 * @param capacity total resources of the runner
 * @param labels labels that steps may require
 */
public record RunnerDescriptor(
        String id,
        long processStartEpochMs,
        String service,
        String address,
        String dataCentre,
        String rack,
        boolean draining,
        Resources capacity,
        Set<String> labels) {

    /** Copies the labels. */
    public RunnerDescriptor {
        labels = Set.copyOf(labels);
    }

    /** Returns whether the entry may be of a process: it is, or does not tell of which process it is. */
    public boolean mayDescribe(long startEpochMs) {
        return processStartEpochMs == 0 || processStartEpochMs == startEpochMs;
    }

    /** Returns the same entry of a runner that is about to leave. */
    public RunnerDescriptor asDraining() {
        return new RunnerDescriptor(
                id, processStartEpochMs, service, address, dataCentre, rack, true, capacity, labels);
    }
}
