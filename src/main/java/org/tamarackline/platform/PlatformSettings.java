package org.tamarackline.platform;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.tamarackline.fleet.NodeSettings;

/**
 * Settings of a process, from the settings file that the platform writes. They are logged under the names of their
 * components.
 *
 * @param node settings of the fleet node
 * @param callerAddress address that listens for callers
 * @param readinessAddress address that listens for the platform's readiness checks
 * @param peerAddress address that listens for other nodes
 * @param storeAddress host and port of the store
 * @param adviceAddress host and port of the service that issues tickets, empty if there is none
 * @param drainTime maximum time from the stop signal to the end of the drain
 */
record PlatformSettings(
        NodeSettings node,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        String storeAddress,
        String adviceAddress,
        Duration drainTime) {}
