package org.tamarackline.core.idempotency;

import org.tamarackline.core.model.NodeId;

/**
 * What the table holds about a request with an idempotency key.
 *
 * @param state how far the request came
 * @param node node that may send it
 * @param token drawn at random for this one request; only its holder may send, once
 * @param digest digest of the request, by which another request under the same key is told
 * @param createdEpochMs wall-clock time of the insert, in milliseconds; used for nothing but the removal of old records
 * @param answer answer to repeat, null unless {@code state} is {@link State#ANSWERED}
 */
public record IdempotencyRecord(
        State state, NodeId node, String token, String digest, long createdEpochMs, RecordedResponse answer) {

    /** How far the request came. */
    public enum State {
        /** It may have been sent. */
        STARTED,
        /** It ran, and its answer is recorded. */
        ANSWERED,
        /** It ran, but its answer was too large to be recorded. */
        ANSWER_TOO_LARGE
    }

    /** Returns the record of a request that is about to be sent. */
    public static IdempotencyRecord started(NodeId node, String token, String digest, long nowEpochMs) {
        return new IdempotencyRecord(State.STARTED, node, token, digest, nowEpochMs, null);
    }

    /** Returns this record with the answer. */
    public IdempotencyRecord withResponse(RecordedResponse response) {
        return new IdempotencyRecord(State.ANSWERED, node, token, digest, createdEpochMs, response);
    }

    /** Returns this record for a request whose answer cannot be recorded. */
    public IdempotencyRecord withResponseTooLarge() {
        return new IdempotencyRecord(State.ANSWER_TOO_LARGE, node, token, digest, createdEpochMs, null);
    }
}
