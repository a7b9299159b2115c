package org.tamarackline.fleet;

import org.tamarackline.core.fleet.Fleet;

/**
 * Objects that the components of a leader share.
 *
 * @param loop event loop that all components run on
 * @param runnerCalls client for commands to runners
 * @param fleet jobs and runners
 * @param log decision log
 */
record LeaderContext(EventLoop loop, RunnerCalls runnerCalls, Fleet fleet, DecisionLog log) {}
