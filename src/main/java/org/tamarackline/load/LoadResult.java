package org.tamarackline.load;

import java.util.Map;

/**
 * What a load run measured.
 *
 * @param requests requests that were due
 * @param outcomes number of requests by how they ended
 * @param statuses number of answers by HTTP status
 * @param refusals number of refused requests by the code of the error answer
 * @param latency time from the moment at which a request was due to its whole answer; answered requests only
 * @param sendDelay time by which requests were sent late because the client was busy
 */
public record LoadResult(
        long requests,
        Map<RequestOutcome.Kind, Long> outcomes,
        Map<Integer, Long> statuses,
        Map<String, Long> refusals,
        LatencySummary latency,
        LatencySummary sendDelay) {

    /** Returns the number of requests that ended like this. */
    public long count(RequestOutcome.Kind kind) {
        return outcomes.getOrDefault(kind, 0L);
    }
}
