package org.tamarackline.load;

import java.time.Duration;
import java.util.Map;

/**
 * What load to send.
 *
 * @param ratePerSecond requests a second, sent at fixed times whether or not earlier ones were answered
 * @param duration time over which requests are sent
 * @param path path of each request
 * @param headers headers of each request
 * @param bodyBytes length of each request's body in bytes; requests without a body use GET
 * @param timeout bound on each request
 */
public record LoadPlan(
        int ratePerSecond,
        Duration duration,
        String path,
        Map<String, String> headers,
        int bodyBytes,
        Duration timeout) {

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Creates a plan that later changes of the headers do not affect. */
    public LoadPlan {
        headers = Map.copyOf(headers);
    }

    /** Returns the number of requests. */
    public long requests() {
        return duration.toNanos() * ratePerSecond / NANOS_PER_SECOND;
    }

    /** Returns the time at which a request is due after the start, in nanoseconds. */
    public long dueNanos(long requestNumber) {
        return requestNumber * NANOS_PER_SECOND / ratePerSecond;
    }

    /** Returns the same load over another time. */
    public LoadPlan withDuration(Duration otherDuration) {
        return new LoadPlan(ratePerSecond, otherDuration, path, headers, bodyBytes, timeout);
    }

    /** Returns the same load for another path. */
    public LoadPlan withPath(String otherPath) {
        return new LoadPlan(ratePerSecond, duration, otherPath, headers, bodyBytes, timeout);
    }

    // The headers may hold a credential.
    @Override
    public String toString() {
        return "%d requests/s for %s to %s, %d bytes each".formatted(ratePerSecond, duration, path, bodyBytes);
    }
}
