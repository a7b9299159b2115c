/**
 * A node of a fleet whose state lives in the platform's store: every node accepts jobs, one node at a time leads.
 *
 * <p>The leader holds all jobs and runners in memory, decides by {@link org.tamarackline.core.fleet.Fleet}, and stores only
 * what the runners cannot tell a successor. Its epoch is the fencing token of its orders. Everything here runs on one
 * {@link org.tamarackline.fleet.EventLoop}; input and output are behind the interfaces of this package.
 */
package org.tamarackline.fleet;
