package org.tamarackline.core.idempotency;

import java.time.Duration;
import java.util.Optional;

/** Decides from the stored record whether a request with an idempotency key may be sent. */
public final class IdempotencyRules {

    /** Time after which a record expires. */
    public static final Duration LIFETIME = Duration.ofHours(24);

    private IdempotencyRules() {}

    /**
     * Decides whether to send a request.
     *
     * @param found stored record of the key
     * @param version version of its row, ignored if there is none
     * @param digest digest of the request
     * @param nowEpochMs wall-clock time in milliseconds
     */
    public static IdempotencyDecision decide(
            Optional<IdempotencyRecord> found, long version, String digest, long nowEpochMs) {
        if (found.isEmpty()) {
            return new IdempotencyDecision.Claim(0);
        }
        IdempotencyRecord earlier = found.get();
        if (isExpired(earlier, nowEpochMs)) {
            return new IdempotencyDecision.Claim(version);
        }
        if (!earlier.digest().equals(digest)) {
            return new IdempotencyDecision.KeyReused();
        }
        return switch (earlier.state()) {
            case STARTED -> new IdempotencyDecision.InProgressOrUnknown();
            case ANSWERED -> new IdempotencyDecision.Replay(earlier.answer());
            case ANSWER_TOO_LARGE -> new IdempotencyDecision.ResponseNotRecorded();
        };
    }

    /** Returns whether a record is older than its lifetime. */
    public static boolean isExpired(IdempotencyRecord found, long nowEpochMs) {
        return nowEpochMs - found.createdEpochMs() > LIFETIME.toMillis();
    }
}
