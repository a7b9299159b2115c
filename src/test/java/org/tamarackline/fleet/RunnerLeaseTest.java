package org.tamarackline.fleet;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests when a leader considers a runner's lease as ended. */
class RunnerLeaseTest {

    private static final Duration LATENCY = Duration.ofMillis(100);

    private final ManualLoop loop = new ManualLoop();
    private final RunnerLease lease = new RunnerLease(loop, LeaseLimits.distant(loop), loop.nowNanos());

    /** Guards against a process that has a longer lease, because its end was computed from the earlier one's clock. */
    @Test
    void leaseComputedFromTheClockOfAnEarlierProcessCountsAsTheLongest() {
        lease.readRunnerClock(1_000_000);
        lease.extend(true);
        long earliestEndNanos = loop.nowNanos() + FleetConstants.MAX_RUNNER_LEASE.toNanos();
        loop.advance(LATENCY);
        lease.onProcessChanged();
        lease.readRunnerClock(1);
        assertThat(lease.endNanos()).isGreaterThan(earliestEndNanos);
        lease.extend(true);
        lease.onProcessVerified();
        assertThat(lease.endNanos()).isGreaterThan(earliestEndNanos);
    }

    /** Guards against a wait for the longest lease of a process that has not changed. */
    @Test
    void leaseOfTheVerifiedProcessEndsEarlier() {
        lease.readRunnerClock(1_000_000);
        lease.extend(false);
        long earliestEndNanos = loop.nowNanos() + FleetConstants.MAX_RUNNER_LEASE.toNanos();
        assertThat(lease.endNanos()).isGreaterThan(earliestEndNanos);
        lease.onProcessVerified();
        assertThat(lease.endNanos()).isLessThan(earliestEndNanos);
    }
}
