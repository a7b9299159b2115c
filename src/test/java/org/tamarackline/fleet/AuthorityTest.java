package org.tamarackline.fleet;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AuthorityTest {

    private final ManualLoop loop = new ManualLoop();
    private Duration suspended = Duration.ZERO;
    private int noticed;
    private final Authority authority = new Authority(
            loop, () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000).plus(suspended), () -> noticed++);

    private void suspend() {
        suspended = suspended.plus(Duration.ofSeconds(3));
    }

    /** Guards against orders after a suspension because the first call after it is a confirmation. */
    @Test
    void confirmationAfterASuspensionDoesNotKeepTheOldOne() {
        authority.confirm(loop.nowNanos());
        long sentNanos = loop.nowNanos();
        loop.advance(Duration.ofMillis(10));
        suspend();
        authority.confirm(sentNanos);
        assertThat(authority.held()).isFalse();
        assertThat(noticed).isEqualTo(1);
    }

    /** Guards against orders after a suspension because of an answer that was received before it. */
    @Test
    void answerToARequestOfBeforeTheSuspensionDoesNotConfirm() {
        authority.confirm(loop.nowNanos());
        long sentNanos = loop.nowNanos();
        loop.advance(Duration.ofMillis(10));
        suspend();
        assertThat(authority.held()).isFalse();
        authority.confirm(sentNanos);
        assertThat(authority.held()).isFalse();
        authority.confirm(loop.nowNanos());
        assertThat(authority.held()).isTrue();
    }
}
