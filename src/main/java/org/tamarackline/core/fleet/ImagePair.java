package org.tamarackline.core.fleet;

/**
 * A serving and a filling image that may share a runner.
 *
 * @param latencyCritical image of the task that has a latency target
 * @param bestEffort image of the task that fills
 */
public record ImagePair(String latencyCritical, String bestEffort) {}
