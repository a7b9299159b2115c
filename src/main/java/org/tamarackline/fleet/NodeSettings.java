package org.tamarackline.fleet;

/**
 * Settings that a node gets at its start.
 *
 * @param node name of the node
 * @param dataCentre data centre of the node
 * @param peerAddress host and port where other nodes reach this one
 * @param capacity resources that the node has
 */
public record NodeSettings(String node, String dataCentre, String peerAddress, NodeCapacity capacity) {}
