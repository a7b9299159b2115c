package org.tamarackline.core.time;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a system clock that follows the wall clock backwards. */
class MonotonicClockTest {

    @Test
    void neverGoesBackwards() {
        MonotonicClock clock = MonotonicClock.system();
        long firstNanos = clock.nowNanos();
        assertThat(clock.nowNanos()).isGreaterThanOrEqualTo(firstNanos);
    }
}
