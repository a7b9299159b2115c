package org.tamarackline.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Addresses of a local entry node.
 *
 * @param peer IPv4 address and port for other nodes
 * @param caller IPv4 address and port for callers
 * @param operator IPv4 address and port for operators
 */
public record EntryAddresses(String peer, String caller, String operator) {

    private static final int PORTS_PER_NODE = 3;

    /** Returns free addresses. All sockets stay open until the last one is bound, so that the ports differ. */
    static List<EntryAddresses> reserve(int nodes) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            List<EntryAddresses> addresses = new ArrayList<>();
            for (int node = 0; node < nodes; node++) {
                List<String> nodeAddresses = new ArrayList<>();
                for (int port = 0; port < PORTS_PER_NODE; port++) {
                    ServerSocket socket = new ServerSocket();
                    sockets.add(socket);
                    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                    nodeAddresses.add("127.0.0.1:" + socket.getLocalPort());
                }
                addresses.add(new EntryAddresses(nodeAddresses.get(0), nodeAddresses.get(1), nodeAddresses.get(2)));
            }
            return addresses;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Returns the base URL for callers. */
    public String callerUrl() {
        return "http://" + caller;
    }

    /** Returns the base URL for operators. */
    public String operatorUrl() {
        return "http://" + operator;
    }
}
