package org.tamarackline.standin.upstream;

import java.util.Map;

/**
 * Requests that an upstream stand-in received since its start.
 *
 * @param requests number of times that each request id was received
 * @param total requests received, including those without an id
 * @param answered requests with a complete response
 * @param highestConcurrency highest number of concurrent requests
 * @param overloads requests received while all slots were in use
 */
public record UpstreamHistory(
        Map<String, Integer> requests, long total, long answered, int highestConcurrency, long overloads) {}
