package org.tamarackline.standin.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Options of an upstream stand-in.
 *
 * @param address address to listen on; port 0 selects a free port
 * @param slots maximum number of concurrent requests; more get a response but count as overloads
 * @param serviceTime service time of a request without the header {@code X-Work-Ms}
 */
public record UpstreamOptions(InetSocketAddress address, int slots, Duration serviceTime) {

    /** Slots of an upstream for which no number is given. */
    public static final int DEFAULT_SLOTS = 8;
}
