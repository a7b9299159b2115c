package org.tamarackline.peer;

import java.net.InetSocketAddress;

import org.tamarackline.core.model.NodeId;

/** Static helpers for the addresses that identify nodes. */
final class PeerAddresses {

    private PeerAddresses() {}

    /**
     * Returns the address that {@code node} names.
     *
     * @throws IllegalArgumentException if the identity is not an IP number and a port
     */
    static InetSocketAddress parse(NodeId node) {
        String text = node.value();
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("node id \"%s\" is not of the form address:port".formatted(text));
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
