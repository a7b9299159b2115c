package org.tamarackline.standin.fleet;

import java.net.InetSocketAddress;

/**
 * A settings file as the platform writes it, for a node on loopback addresses.
 *
 * @param node name of the node
 * @param callers where callers connect
 * @param readiness where readiness is asked for
 * @param peers where other nodes connect
 * @param storeAddress host and port of the store
 */
public record NodeSettingsText(
        String node,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
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
                        peers.getAddress().getHostAddress(),
                        peers.getPort(),
                        peers.getPort(),
                        StandinFleet.text(callers),
                        StandinFleet.text(readiness),
                        storeAddress);
    }
}
