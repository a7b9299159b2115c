package org.tamarackline.core.idempotency;

import org.tamarackline.core.model.NodeId;

/**
 * The stored record of a request with an idempotency key. It is written before the request is sent, and completed with the
 * response.
 *
 * @param state progress of the request
 * @param node node that may send the request
 * @param token random token of this request; only its holder may send the request, once
 * @param digest digest of the request, by which a different request with the same key is detected
 * @param createdEpochMs wall-clock time of the insert, in milliseconds; used only to expire records
 * @param answer response to repeat, null unless {@code state} is {@link State#ANSWERED}
 */
public record IdempotencyRecord(
        State state, NodeId node, String token, String digest, long createdEpochMs, RecordedResponse answer) {

    /** Progress of a request. */
    public enum State {
        /** The request may have been sent. */
        STARTED,
        /** The request was completed, and its response is recorded. */
        ANSWERED,
        /** The request was completed, but its response was too large to be recorded. */
        ANSWER_TOO_LARGE
    }

    /** Returns the record of a request that is about to be sent. */
    public static IdempotencyRecord started(NodeId node, String token, String digest, long nowEpochMs) {
        return new IdempotencyRecord(State.STARTED, node, token, digest, nowEpochMs, null);
    }

    /** Returns this record with the response. */
    public IdempotencyRecord withResponse(RecordedResponse response) {
        return new IdempotencyRecord(State.ANSWERED, node, token, digest, createdEpochMs, response);
    }

    /** Returns this record for a response that is too large to be recorded. */
    public IdempotencyRecord withResponseTooLarge() {
        return new IdempotencyRecord(State.ANSWER_TOO_LARGE, node, token, digest, createdEpochMs, null);
    }
}
