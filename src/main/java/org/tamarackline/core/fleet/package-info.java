/**
 * Scheduling of multi-step jobs on a fleet of runners: which task starts, stops or is throttled on which runner.
 *
 * <p>One {@link org.tamarackline.core.fleet.Fleet} holds all jobs and runners of one leader. It does no input or
 * output: the leader passes in what the store and the runners report, and sends the commands that it returns.
 */
package org.tamarackline.core.fleet;
