package org.tamarackline.core.idempotency;

/** What to do with a request that carries an idempotency key, given the record found under the key. */
public sealed interface IdempotencyDecision {

    /**
     * Nothing is recorded, or the record has expired: claim the key.
     *
     * @param version version that the row must have when it is written, 0 for none
     */
    record Claim(long version) implements IdempotencyDecision {}

    /**
     * Repeat the recorded answer.
     *
     * @param response recorded answer
     */
    record Replay(RecordedResponse response) implements IdempotencyDecision {}

    /** An earlier request is running, or nobody knows whether it ran. */
    record InProgressOrUnknown() implements IdempotencyDecision {}

    /** An earlier request ran, but its answer was too large to be recorded. */
    record ResponseNotRecorded() implements IdempotencyDecision {}

    /** The key belongs to another request. */
    record KeyReused() implements IdempotencyDecision {}
}
