package org.tamarackline.core.fleet;

/**
 * A serving and a filling image that may share a runner.
 *
 * @param serving image of the task that has a latency target
 * @param filling image of the task that fills
 */
public record ImagePair(String serving, String filling) {}
