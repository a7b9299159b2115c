package org.tamarackline.fleet;

import java.time.InstantSource;

/**
 * What a node reaches its surroundings by.
 *
 * @param loop where everything runs
 * @param store store that all nodes share
 * @param runnerCalls orders to runners
 * @param directory list of runners
 * @param timeOfDay time of day, which scheduled jobs are measured by
 * @param log log of decisions
 */
public record NodeServices(
        EventLoop loop,
        RecordStore store,
        RunnerCalls runnerCalls,
        PlatformRunnerDirectory directory,
        InstantSource timeOfDay,
        DecisionLog log) {}
