package org.tamarackline.core.fleet;

import java.util.Set;

import org.tamarackline.core.model.Resources;

/**
 * What the directory says about a runner.
 *
 * @param id identifier of the runner
 * @param processStartEpochMs start of the runner's process in milliseconds since 1970, 0 if unknown; tells its incarnations apart
 * @param service service that the runner belongs to
 * @param address host and port
 * @param dataCentre data centre of the runner
 * @param rack rack of the runner, empty if unknown
 * @param draining whether the runner is about to leave
 * @param capacity what the runner can carry
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

    /** Creates a report that later changes of the arguments do not affect. */
    public RunnerDescriptor {
        labels = Set.copyOf(labels);
    }
}
