package org.tamarackline.core.time;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a system clock that goes backwards when the wall clock is set back. */
class MonotonicClockTest {

    @Test
    void neverGoesBackwards() {
        MonotonicClock clock = MonotonicClock.system();
        long firstNanos = clock.nowNanos();
        assertThat(clock.nowNanos()).isGreaterThanOrEqualTo(firstNanos);
    }
}
