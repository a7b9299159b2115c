/**
 * The path of latency-critical requests over HTTP: validation, admission, choice of a runner, and streaming to and from it.
 *
 * <p>A runner is a VM that serves requests of one service and has a number of slots, one for each request that it can process
 * at a time. Runners are divided into groups, each owned by one node, which grants their slots to its local requests and lends
 * them to other nodes.
 */
package org.tamarackline.entry.proxy;
