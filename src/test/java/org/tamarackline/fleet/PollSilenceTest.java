package org.tamarackline.fleet;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests from when on the answer of a runner is overdue. */
class PollSilenceTest {

    private static final Duration SILENCE = Duration.ofSeconds(4);

    private final ManualLoop loop = new ManualLoop();
    private final PollSilence silence = new PollSilence(loop);

    /** Guards against a runner that is cordoned late because it was silent for a while before. */
    @Test
    void silenceBeforeTheLastAnswerDoesNotDelayACordon() {
        silence.onPollSent(loop.nowNanos());
        loop.advance(SILENCE);
        silence.onMissedPoll(loop.nowNanos());
        silence.onAnswer();
        silence.onPollSent(loop.nowNanos());
        loop.advance(FleetConstants.CORDON_AFTER_OVERDUE);
        assertThat(silence.overdueFor(FleetConstants.CORDON_AFTER_OVERDUE)).isTrue();
    }
}
