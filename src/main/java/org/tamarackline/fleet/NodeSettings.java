package org.tamarackline.fleet;

import java.time.Duration;

/**
 * Settings that a node gets at its start.
 *
 * @param node name of the node
 * @param dataCentre data centre of the node
 * @param peerAddress host and port where other nodes reach this one
 * @param drainTime maximum time from a stop signal to the end of the process
 */
public record NodeSettings(String node, String dataCentre, String peerAddress, Duration drainTime) {}
