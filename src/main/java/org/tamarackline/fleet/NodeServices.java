package org.tamarackline.fleet;

import java.time.InstantSource;

/**
 * External services that a node depends on.
 *
 * @param loop event loop that the node runs on
 * @param store store that all nodes share
 * @param runnerCalls client for commands to runners
 * @param directory directory of runners
 * @param timeOfDay time of day, by which scheduled jobs become due
 * @param log decision log
 * @param metrics metrics of the node
 */
public record NodeServices(
        EventLoop loop,
        RecordStore store,
        RunnerCalls runnerCalls,
        PlatformRunnerDirectory directory,
        InstantSource timeOfDay,
        DecisionLog log,
        FleetMetrics metrics) {

    /** Returns the same services with another access to the store. */
    NodeServices withStore(RecordStore otherStore) {
        return new NodeServices(loop, otherStore, runnerCalls, directory, timeOfDay, log, metrics);
    }
}
