package org.tamarackline.platform;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.tamarackline.fleet.NodeSettings;

/**
 * The platform's settings file of a process.
 *
 * @param node what the fleet's node is told
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform asks whether the node takes connections
 * @param peerAddress where other nodes connect
 * @param storeAddress host and port of the store
 * @param adviceAddress host and port of the service that issues tickets, empty if there is none
 * @param shutdownTime time between the stop signal and the kill
 */
record PlatformSettings(
        NodeSettings node,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        String storeAddress,
        String adviceAddress,
        Duration shutdownTime) {}
