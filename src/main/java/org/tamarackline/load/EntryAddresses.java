package org.tamarackline.load;

import java.io.IOException;
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

    /** Returns addresses for a number of nodes whose ports are reserved. */
    static List<EntryAddresses> reserve(int nodes, PortReservations ports) throws IOException {
        List<EntryAddresses> addresses = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            addresses.add(new EntryAddresses(loopback(ports), loopback(ports), loopback(ports)));
        }
        return addresses;
    }

    private static String loopback(PortReservations ports) throws IOException {
        return "127.0.0.1:" + ports.reserve();
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
