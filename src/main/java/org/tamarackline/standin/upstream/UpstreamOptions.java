package org.tamarackline.standin.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * How an upstream stand-in is set up.
 *
 * @param address where to listen; port 0 lets the kernel choose
 * @param slots requests that may be in service at once; more are answered but counted as overloads
 * @param serviceTime service time of a request without the header {@code X-Work-Ms}
 */
public record UpstreamOptions(InetSocketAddress address, int slots, Duration serviceTime) {

    /** Slots of a runner. */
    public static final int DEFAULT_SLOTS = 8;
}
