/**
 * Decisions about jobs of steps on a fleet of runners: which task starts, stops or is paced on which runner.
 *
 * <p>One {@link org.tamarackline.core.fleet.Fleet} holds all jobs and runners that one leader is responsible for. It has no
 * input or output: the leader feeds it with what the store and the runners report, and carries out the orders it returns.
 */
package org.tamarackline.core.fleet;
