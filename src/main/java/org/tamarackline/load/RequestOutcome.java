package org.tamarackline.load;

import java.util.Optional;

/**
 * Outcome of one request of the load client, as its caller saw it.
 *
 * @param requestId identifier of the request
 * @param kind how the request ended
 * @param status HTTP status, 0 without a response
 * @param code code of the error response, empty if there is none
 * @param detail explanation in the error response, or the failure of a broken request; empty if there is neither
 * @param executed value of the response header {@code Tamarackline-Executed}
 */
public record RequestOutcome(
        String requestId,
        Kind kind,
        int status,
        Optional<String> code,
        Optional<String> detail,
        Optional<String> executed) {

    /** How a request ended. */
    public enum Kind {
        /** The complete response to this request arrived. */
        ANSWERED,
        /** A response with status 200 arrived that is not the complete response to this request. */
        MISMATCHED,
        /** A response with another status arrived. */
        REFUSED,
        /** No complete response arrived. */
        BROKEN,
        /** The request was not sent because the client had too many open requests. */
        NOT_SENT
    }
}
