package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.core.fleet.EndReason;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which starts a runner gets from a leader after it has restarted under its identifier. */
class RestartAsOtherKindTest {

    private static final int RUNNER = 0;
    private static final int RUNS_PER_RUNNER = 4;
    private static final Duration DOWNTIME = Duration.ofSeconds(2);
    /** The tasks of the jobs in this time do not fit on one runner. */
    private static final Duration TIME_BETWEEN_JOBS = Duration.ofMillis(30);

    /** Time from the first answer of a restarted runner to its next start, which is shorter than between two readings. */
    private static final Duration MAX_TIME_TO_START = Duration.ofMillis(600);

    private static final ProtocolRunner.Kind KIND = ProtocolRunner.Kind.DEFAULT.withMaxRuns(RUNS_PER_RUNNER);

    private final LeaderFixture fixture = new LeaderFixture(2, RUNS_PER_RUNNER);
    private int jobs;

    private void submitJobsFor(Duration time) {
        long endNanos = fixture.nowNanos() + time.toNanos();
        while (fixture.nowNanos() < endNanos) {
            fixture.submit(JobDefinitions.tasks("job" + jobs++, 2, 100));
            fixture.advance(TIME_BETWEEN_JOBS);
        }
    }

    /** Guards against starts on a process of another service, by the directory entry of the process before. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800})
    void processOfAnotherServiceGetsNoStarts(int phaseMs) {
        fixture.setPlans(task -> new ProtocolRunner.RunPlan(Duration.ofMillis(100), EndReason.DONE));
        fixture.startLeader();
        submitJobsFor(Duration.ofSeconds(2).plusMillis(phaseMs));
        fixture.crashRunner(RUNNER);
        submitJobsFor(DOWNTIME);
        int startsBefore = fixture.startsOn(RUNNER).size();
        assertThat(startsBefore).isPositive();
        fixture.bootRunnerAs(RUNNER, new ProtocolRunner.Kind("other", Set.of(), "", RUNS_PER_RUNNER));
        submitJobsFor(Duration.ofSeconds(2));
        assertThat(fixture.startsOn(RUNNER)).hasSize(startsBefore);
    }

    /** Guards against a restarted runner that waits for the next reading of the directory although its entry is there. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800})
    void processWhoseEntryIsThereGetsStartsSoon(int phaseMs) {
        fixture.setPlans(task -> new ProtocolRunner.RunPlan(Duration.ofMillis(100), EndReason.DONE));
        fixture.startLeader();
        submitJobsFor(Duration.ofSeconds(2).plusMillis(phaseMs));
        fixture.crashRunner(RUNNER);
        submitJobsFor(DOWNTIME);
        int startsBefore = fixture.startsOn(RUNNER).size();
        fixture.bootRunnerAs(RUNNER, KIND);
        submitJobsFor(FleetConstants.POLL_RETRY_DELAY.plus(MAX_TIME_TO_START));
        assertThat(fixture.startsOn(RUNNER)).hasSizeGreaterThan(startsBefore);
    }

    /** Guards against an idle runner whose restart is noticed late, although its entry tells of it. */
    @Test
    void idleRunnerIsPolledOnceItsEntryIsOfAnotherProcess() {
        fixture.startLeader();
        fixture.advance(Duration.ofSeconds(5));
        fixture.crashRunner(RUNNER);
        fixture.advance(FleetConstants.MIN_RESTART_TIME);
        fixture.bootRunnerAs(RUNNER, KIND);
        fixture.advance(FleetConstants.DIRECTORY_READ_INTERVAL.plusMillis(100));
        assertThat(fixture.loggedLines("runner-restarted")).isEqualTo(1);
    }
}
