package org.tamarackline.load;

import java.util.Map;

/**
 * Measurements of a load run.
 *
 * @param requests requests that were due
 * @param outcomes number of requests by how they ended
 * @param statuses number of responses by HTTP status
 * @param refusals number of refused requests by the code of the error response
 * @param latency time from the due time of a request to its complete response; answered requests only
 * @param sendDelay time by which requests were sent late because the client was busy
 */
public record LoadResult(
        long requests,
        Map<RequestOutcome.Kind, Long> outcomes,
        Map<Integer, Long> statuses,
        Map<String, Long> refusals,
        LatencySummary latency,
        LatencySummary sendDelay) {

    /** Returns the number of requests with this outcome. */
    public long count(RequestOutcome.Kind kind) {
        return outcomes.getOrDefault(kind, 0L);
    }
}
