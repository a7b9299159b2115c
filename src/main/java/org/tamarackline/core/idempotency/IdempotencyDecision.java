package org.tamarackline.core.idempotency;

/** The decision of {@link IdempotencyRules} about a request with an idempotency key. */
public sealed interface IdempotencyDecision {

    /**
     * There is no record, or it has expired: claim the key by writing a new record, then send the request.
     *
     * @param version version that the row must have when it is written, 0 if there must be none
     */
    record Claim(long version) implements IdempotencyDecision {}

    /**
     * An earlier request was completed: repeat its recorded response.
     *
     * @param response recorded response
     */
    record Replay(RecordedResponse response) implements IdempotencyDecision {}

    /** An earlier request is being processed, or its outcome is unknown. */
    record InProgressOrUnknown() implements IdempotencyDecision {}

    /** An earlier request was completed, but its response was too large to be recorded. */
    record ResponseNotRecorded() implements IdempotencyDecision {}

    /** The key was used for a different request. */
    record KeyReused() implements IdempotencyDecision {}
}
