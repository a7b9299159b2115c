package org.tamarackline.load;

import java.util.Optional;

/**
 * What the caller of one request was told.
 *
 * @param requestId identifies the request
 * @param kind how the request ended
 * @param status HTTP status, 0 without an answer
 * @param code stable code of the error answer, empty if there is none
 * @param executed value of the header {@code Tamarackline-Executed}
 */
public record RequestOutcome(
        String requestId, Kind kind, int status, Optional<String> code, Optional<String> executed) {

    /** How a request ended. */
    public enum Kind {
        /** The whole answer to this request arrived. */
        ANSWERED,
        /** An answer with status 200 arrived that is not the whole answer to this request. */
        MISMATCHED,
        /** An answer with another status arrived. */
        REFUSED,
        /** No whole answer arrived. */
        BROKEN,
        /** The client had too many requests open, so that this one was not sent. */
        NOT_SENT
    }
}
