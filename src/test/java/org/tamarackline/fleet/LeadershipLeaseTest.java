package org.tamarackline.fleet;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a leader sends no commands after a suspension of the machine until the store confirms it again. */
class LeadershipLeaseTest {

    private final ManualLoop loop = new ManualLoop();
    private Duration suspended = Duration.ZERO;
    private int noticedSuspensions;
    private final LeadershipLease leadershipLease = new LeadershipLease(
            loop, () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000).plus(suspended), () -> noticedSuspensions++);

    private void suspend() {
        suspended = suspended.plus(Duration.ofSeconds(3));
    }

    /** Guards against commands after a suspension whose first call is a confirmation. */
    @Test
    void confirmationAfterASuspensionDoesNotExtendTheOldLease() {
        leadershipLease.confirm(loop.nowNanos());
        long sentNanos = loop.nowNanos();
        loop.advance(Duration.ofMillis(10));
        suspend();
        leadershipLease.confirm(sentNanos);
        assertThat(leadershipLease.held()).isFalse();
        assertThat(noticedSuspensions).isEqualTo(1);
    }

    /** Guards against commands after a suspension due to the response to a request that was sent before it. */
    @Test
    void responseToARequestSentBeforeTheSuspensionDoesNotConfirm() {
        leadershipLease.confirm(loop.nowNanos());
        long sentNanos = loop.nowNanos();
        loop.advance(Duration.ofMillis(10));
        suspend();
        assertThat(leadershipLease.held()).isFalse();
        leadershipLease.confirm(sentNanos);
        assertThat(leadershipLease.held()).isFalse();
        leadershipLease.confirm(loop.nowNanos());
        assertThat(leadershipLease.held()).isTrue();
    }
}
