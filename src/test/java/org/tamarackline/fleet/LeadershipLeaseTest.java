package org.tamarackline.fleet;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeadershipLeaseTest {

    private final ManualLoop loop = new ManualLoop();
    private Duration suspended = Duration.ZERO;
    private int noticedSuspensions;
    private final LeadershipLease leadershipLease = new LeadershipLease(
            loop, () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000).plus(suspended), () -> noticedSuspensions++);

    private void suspend() {
        suspended = suspended.plus(Duration.ofSeconds(3));
    }

    /** Guards against orders after a suspension because the first call after it is a confirmation. */
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

    /** Guards against orders after a suspension because of an answer that was received before it. */
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
