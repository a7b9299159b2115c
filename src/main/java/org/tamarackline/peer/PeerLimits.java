package org.tamarackline.peer;

import java.time.Duration;

/**
 * Bounds of the connections between nodes.
 *
 * @param maxConnections connections that a server accepts at once
 * @param maxCalls calls that a server works on at once, and calls that a client waits for on one connection
 * @param handshakeTimeout bound on the whole handshake
 * @param idleTimeout time without a frame after which a connection is closed
 */
public record PeerLimits(int maxConnections, int maxCalls, Duration handshakeTimeout, Duration idleTimeout) {

    /** Returns the defaults. */
    public static PeerLimits defaults() {
        return new PeerLimits(256, 512, Duration.ofSeconds(1), Duration.ofSeconds(30));
    }
}
