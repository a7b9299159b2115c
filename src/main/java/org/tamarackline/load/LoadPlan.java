package org.tamarackline.load;

import java.time.Duration;
import java.util.Map;

/**
 * Parameters of a load run.
 *
 * @param ratePerSecond requests per second, sent at fixed times whether or not earlier ones got a response
 * @param duration time over which requests are sent
 * @param path path of each request
 * @param headers headers of each request
 * @param bodyBytes length of each request's body in bytes; requests without a body use GET
 * @param timeout timeout of each request
 */
public record LoadPlan(
        int ratePerSecond,
        Duration duration,
        String path,
        Map<String, String> headers,
        int bodyBytes,
        Duration timeout) {

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Copies the headers, so that later changes to them have no effect. */
    public LoadPlan {
        headers = Map.copyOf(headers);
    }

    /** Returns the number of requests. */
    public long requests() {
        return duration.toNanos() * ratePerSecond / NANOS_PER_SECOND;
    }

    /** Returns the time from the start at which a request is due, in nanoseconds. */
    public long dueNanos(long requestNumber) {
        return requestNumber * NANOS_PER_SECOND / ratePerSecond;
    }

    /** Returns this plan with another duration. */
    public LoadPlan withDuration(Duration otherDuration) {
        return new LoadPlan(ratePerSecond, otherDuration, path, headers, bodyBytes, timeout);
    }

    /** Returns this plan with another path. */
    public LoadPlan withPath(String otherPath) {
        return new LoadPlan(ratePerSecond, duration, otherPath, headers, bodyBytes, timeout);
    }

    // Omits the headers, which may contain a credential.
    @Override
    public String toString() {
        return "%d requests/s for %s to %s, %d bytes each".formatted(ratePerSecond, duration, path, bodyBytes);
    }
}
