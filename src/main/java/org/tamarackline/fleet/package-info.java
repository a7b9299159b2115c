/**
 * Implements a node of a fleet whose state is kept in the platform's store. Every node accepts jobs; one node at a time
 * is the leader and schedules them.
 *
 * <p>The leader keeps all jobs and runners in memory, schedules with {@link org.tamarackline.core.fleet.Fleet} and
 * stores only what a successor cannot learn from the runners. Its epoch is the fencing token of its commands. All code
 * of a node runs on one {@link org.tamarackline.fleet.EventLoop}; input and output are behind the interfaces of this
 * package.
 */
package org.tamarackline.fleet;
