package org.tamarackline.standin.fleet;

import java.net.InetSocketAddress;

/**
 * Content of the settings file that the platform writes for a node, here for a node on loopback addresses.
 *
 * @param node name of the node
 * @param callerAddress address for callers
 * @param readinessAddress address for readiness checks
 * @param peerAddress address for other nodes
 * @param storeAddress host and port of the store
 */
public record NodeSettingsText(
        String node,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        String storeAddress) {

    private static final double DEFAULT_CPU_SHARE = 0.75;

    /** Returns the settings file as TOML. */
    public String text() {
        return text(DEFAULT_CPU_SHARE);
    }

    /**
     * Returns the settings file of a node with a share of a processor as TOML.
     *
     * @param cpuShare processor time of the node, as a fraction of one processor
     */
    public String text(double cpuShare) {
        return """
                nodeName = "%s"
                ip = "%s"
                zone = "a"
                internalPorts = [%d,%d]
                [bindAddrs]
                frontend = "%s"
                readiness = "%s"
                [limits]
                cpuShare = %s
                cores = 1
                memoryMb = 430
                maxFds = 4100
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
                        cpuShare,
                        storeAddress);
    }
}
