package org.tamarackline.core.fleet;

/**
 * A latency-critical and a best-effort image that may share a runner.
 *
 * @param latencyCritical image of the latency-critical task
 * @param bestEffort image of the best-effort task
 */
public record ImagePair(String latencyCritical, String bestEffort) {}
