package org.tamarackline.standin.fleet;

import java.net.InetSocketAddress;

/**
 * A settings file as the platform writes it, for a node on loopback addresses.
 *
 * @param node name of the node
 * @param callerAddress where callers connect
 * @param readinessAddress where readiness is asked for
 * @param peerAddress where other nodes connect
 * @param storeAddress host and port of the store
 */
public record NodeSettingsText(
        String node,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        String storeAddress) {

    /** Returns the content of the file. */
    public String text() {
        return """
                nodeName = "%s"
                ip = "%s"
                zone = "a"
                internalPorts = [%d,%d]
                [bindAddrs]
                frontend = "%s"
                readiness = "%s"
                [bounds]
                graceS = 6
                [platform]
                address = "%s"
                """.formatted(
                        node,
                        peerAddress.getAddress().getHostAddress(),
                        peerAddress.getPort(),
                        peerAddress.getPort(),
                        StandinFleet.hostAndPort(callerAddress),
                        StandinFleet.hostAndPort(readinessAddress),
                        storeAddress);
    }
}
