package org.tamarackline.fleet;

import org.tamarackline.core.fleet.Fleet;

/**
 * What the parts of a leader share.
 *
 * @param loop where everything runs
 * @param runnerCalls orders to runners
 * @param fleet jobs and runners
 * @param log log of decisions
 */
record LeaderContext(EventLoop loop, RunnerCalls runnerCalls, Fleet fleet, DecisionLog log) {}
