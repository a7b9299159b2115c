package org.tamarackline.peer;

import java.net.InetSocketAddress;

import org.tamarackline.core.model.NodeId;

/** Parses node ids, which are the peer addresses of the nodes. */
final class PeerAddresses {

    private PeerAddresses() {}

    /**
     * Returns the address of {@code node}.
     *
     * @throws IllegalArgumentException if the id does not consist of an IP address and a port
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
