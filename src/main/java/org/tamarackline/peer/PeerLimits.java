package org.tamarackline.peer;

import java.time.Duration;

/**
 * Limits of the connections between nodes.
 *
 * @param maxConnections maximum number of open connections of a server or a client
 * @param maxCalls maximum number of concurrent calls that a server handles, or that a client makes on one connection
 * @param handshakeTimeout maximum time to wait for each frame of the handshake
 * @param idleTimeout time without a frame after which a connection is closed
 */
public record PeerLimits(int maxConnections, int maxCalls, Duration handshakeTimeout, Duration idleTimeout) {

    /** Returns the defaults. */
    public static PeerLimits defaults() {
        return new PeerLimits(256, 512, Duration.ofSeconds(1), Duration.ofSeconds(30));
    }
}
