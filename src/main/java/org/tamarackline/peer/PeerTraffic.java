package org.tamarackline.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes that this node exchanges with other nodes, length prefixes included. */
public final class PeerTraffic {

    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    /** Returns the bytes sent since the start. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the bytes received since the start. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    void addSent(long bytes) {
        sentBytes.add(bytes);
    }

    void addReceived(long bytes) {
        receivedBytes.add(bytes);
    }
}
