package org.tamarackline.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.NodeId;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests with an idempotency key that are executed twice, or that get the response to another request. */
class IdempotencyRulesTest {

    private static final long CREATED_MS = 1_000;
    private static final long LIFETIME_MS = IdempotencyRules.LIFETIME.toMillis();
    private static final IdempotencyRecord STARTED =
            IdempotencyRecord.started(new NodeId("n1"), "token", "digest", CREATED_MS);

    @Test
    void decidesByTheRecord() {
        RecordedResponse response = new RecordedResponse(201, List.of(), 1);
        assertThat(decide(Optional.empty(), "digest")).isEqualTo(new IdempotencyDecision.Claim(0));
        assertThat(decide(Optional.of(STARTED), "digest")).isEqualTo(new IdempotencyDecision.InProgressOrUnknown());
        assertThat(decide(Optional.of(STARTED), "other")).isEqualTo(new IdempotencyDecision.KeyReused());
        assertThat(decide(Optional.of(STARTED.withResponse(response)), "digest"))
                .isEqualTo(new IdempotencyDecision.Replay(response));
        assertThat(decide(Optional.of(STARTED.withResponse(response)), "other"))
                .isEqualTo(new IdempotencyDecision.KeyReused());
        assertThat(decide(Optional.of(STARTED.withResponseTooLarge()), "digest"))
                .isEqualTo(new IdempotencyDecision.ResponseNotRecorded());
    }

    @Test
    void claimsAgainOnlyAfterTheLifetime() {
        Optional<IdempotencyRecord> found = Optional.of(STARTED);
        assertThat(IdempotencyRules.decide(found, 7, "digest", CREATED_MS + LIFETIME_MS))
                .isEqualTo(new IdempotencyDecision.InProgressOrUnknown());
        assertThat(IdempotencyRules.decide(found, 7, "other", CREATED_MS + LIFETIME_MS + 1))
                .isEqualTo(new IdempotencyDecision.Claim(7));
    }

    @Test
    void digestCoversMethodTargetBodyAndLength() {
        byte[] body = "1 l".getBytes(StandardCharsets.UTF_8);
        String digest = RequestDigests.digest("POST", "/dose", body, 3);
        assertThat(RequestDigests.digest("POST", "/dose", body, 3)).isEqualTo(digest);
        assertThat(List.of(
                        RequestDigests.digest("PUT", "/dose", body, 3),
                        RequestDigests.digest("POST", "/dos", body, 3),
                        RequestDigests.digest("POST", "/dose", new byte[3], 3),
                        RequestDigests.digest("POST", "/dose", body, 4)))
                .doesNotContain(digest);
    }

    private static IdempotencyDecision decide(Optional<IdempotencyRecord> found, String digest) {
        return IdempotencyRules.decide(found, 3, digest, CREATED_MS + 1);
    }
}
