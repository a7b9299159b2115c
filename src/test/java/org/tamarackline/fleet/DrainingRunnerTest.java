package org.tamarackline.fleet;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tamarackline.core.fleet.EndReason;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a leader starts nothing on a runner soon after it has announced that it will leave. */
class DrainingRunnerTest {

    /** Time for which a runner that has announced to leave still accepts starts. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

    private static final Duration TIME_BETWEEN_JOBS = Duration.ofMillis(20);
    private static final int LEAVING_RUNNER = 0;

    private final LeaderFixture fixture = new LeaderFixture(3, 50);
    private int jobs;

    /** Guards against starts by an old directory, while reads of it wait for the timeouts of silent connections. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0, 1", "0, 3", "300, 1", "300, 3", "600, 1", "600, 3"})
    void leavingRunnerGetsNoStartsAfterItsDrainTime(int phaseMs, int silentConnections) {
        fixture.setPlans(task -> new ProtocolRunner.RunPlan(Duration.ofMillis(100), EndReason.DONE));
        fixture.startLeader();
        submitJobsFor(Duration.ofSeconds(3).plusMillis(phaseMs));
        assertThat(fixture.lastStartNanos(LEAVING_RUNNER)).isPositive();
        long announcedNanos = fixture.nowNanos();
        fixture.drainRunner(LEAVING_RUNNER, silentConnections);
        submitJobsFor(Duration.ofSeconds(8));
        assertThat(fixture.lastStartNanos(LEAVING_RUNNER) - announcedNanos).isLessThan(DRAIN_TIME.toNanos());
    }

    /** Guards against a takeover that waits for the timeout of a directory read whose connection has gone silent. */
    @Test
    void newLeaderDoesNotWaitForASilentConnectionOfTheDirectory() {
        fixture.drainRunner(LEAVING_RUNNER, 1);
        fixture.startLeader();
        assertThat(fixture.loggedLines("leader-ready")).isEqualTo(1);
    }

    /** Guards against starts by the directory that a new leader read at the beginning of a slow takeover. */
    @Test
    void leavingRunnerGetsNoStartsAfterASlowTakeover() {
        fixture.submit(JobDefinitions.tasks("waiting", 30, 100));
        fixture.store().setLatency(Duration.ofMillis(900));
        fixture.store().setTransactionLatency(Duration.ofMillis(5));
        fixture.startLeader();
        fixture.advance(Duration.ofSeconds(1));
        long announcedNanos = fixture.nowNanos();
        fixture.drainRunner(LEAVING_RUNNER, 0);
        fixture.advance(Duration.ofSeconds(8));
        assertThat(fixture.startsOf("waiting")).isNotEmpty();
        assertThat(fixture.lastStartNanos(LEAVING_RUNNER) - announcedNanos).isLessThan(DRAIN_TIME.toNanos());
    }

    private void submitJobsFor(Duration time) {
        long endNanos = fixture.nowNanos() + time.toNanos();
        while (fixture.nowNanos() < endNanos) {
            fixture.submit(JobDefinitions.tasks("job" + jobs++, 1, 100));
            fixture.advance(TIME_BETWEEN_JOBS);
        }
    }
}
