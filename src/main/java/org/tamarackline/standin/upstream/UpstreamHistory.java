package org.tamarackline.standin.upstream;

import java.util.Map;

/**
 * What an upstream stand-in served.
 *
 * @param requests requests received by request id, each with the number of times it was received
 * @param total requests received, also those without an id
 * @param answered requests answered whole
 * @param highestConcurrency highest number of requests in service at once
 * @param overloads requests received while all slots were in use
 */
public record UpstreamHistory(
        Map<String, Integer> requests, long total, long answered, int highestConcurrency, long overloads) {}
