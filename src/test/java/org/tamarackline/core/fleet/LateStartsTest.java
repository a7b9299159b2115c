package org.tamarackline.core.fleet;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests starts without a response that may reach a process of their runner which did not confirm their stop. */
class LateStartsTest {

    /** Longest time for which a command may be on its way, in milliseconds. */
    private static final long MAX_COMMAND_DELAY_MS = 12_000;

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();
    private final FleetRunner runner = fixture.addRunner("first", 1_000);
    private Run run;

    /** The first process confirms the stop of a run, and the task starts on another runner. */
    @BeforeEach
    void startElsewhereAfterAConfirmedStop() {
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, false, 0);
        run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.UNKNOWN);
        assertThat(fixture.scheduleStops()).hasSize(1);
        confirmStop();
        fixture.addRunner("second", 16_000);
        reportWithoutRuns(1);
        fleet.runnerSilent("first");
        fixture.applyStartResult(fixture.scheduleStarts().getFirst(), StartResult.STARTED);
    }

    private void confirmStop() {
        fixture.advanceMs(1);
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
    }

    private void reportWithoutRuns(long processStartEpochMs) {
        fixture.reportStatus(runner, processStartEpochMs, List.of(), List.of());
    }

    private void assertStopped(FleetRunner stoppedRunner) {
        assertThat(fixture.scheduleStops()).singleElement().satisfies(stop -> {
            assertThat(stop.runner()).isSameAs(stoppedRunner);
            assertThat(stop.task()).isEqualTo(run.task().key());
            assertThat(stop.runNumber()).isEqualTo(run.number());
        });
    }

    /** Guards against a second run of a task beside its next one, by a start that the next process executes. */
    @Test
    void startIsStoppedOnTheNextProcess() {
        reportWithoutRuns(2);
        assertStopped(runner);
    }

    /** Guards against a start that the next process executes after it got other tasks. */
    @Test
    void nextProcessGetsNoTasksUntilItHasConfirmedTheStop() {
        reportWithoutRuns(2);
        assertThat(runner.startBlock()).isEqualTo(StartBlock.UNRESOLVED_STARTS);
        confirmStop();
        assertThat(runner.startBlock()).isEqualTo(StartBlock.NONE);
    }

    /** Guards against a start that the process after the next one executes. */
    @Test
    void startIsStoppedOnEachFurtherProcess() {
        reportWithoutRuns(2);
        assertStopped(runner);
        confirmStop();
        reportWithoutRuns(3);
        assertStopped(runner);
    }

    /** Guards against a start that the process after the next one executes, because the next one ended before it answered. */
    @Test
    void startIsStoppedOnTheLaterProcessIfTheNextOneDidNotConfirm() {
        reportWithoutRuns(2);
        assertStopped(runner);
        reportWithoutRuns(3);
        assertStopped(runner);
    }

    /** Guards against a start that a process executes whose status must not be applied before the store answers. */
    @Test
    void startIsStoppedBeforeTheStatusOfTheNextProcessIsApplied() {
        long sentNanos = fixture.nowNanos();
        fixture.advanceMs(1);
        fleet.processAnswered(runner, 2, sentNanos, fixture.nowNanos());
        assertStopped(runner);
        confirmStop();
        reportWithoutRuns(2);
        assertThat(fixture.scheduleStops()).isEmpty();
    }

    /** Guards against a start that is forgotten while its runner is lost. */
    @Test
    void startIsStoppedOnTheNextProcessOfALostRunner() {
        fleet.runnerLost("first");
        reportWithoutRuns(2);
        assertStopped(runner);
    }

    /** Guards against a start that is forgotten because its runner has left the directory for a while. */
    @Test
    void startIsStoppedOnARunnerThatIsBackInTheDirectory() {
        fleet.runnerDeregistered("first");
        fleet.runnerLost("first");
        FleetRunner back = fleet.runnerRegistered(RunnerEntries.ofProcess(runner.descriptor(), 2));
        fixture.reportStatus(back, 2, List.of(), List.of());
        assertThat(back).isNotSameAs(runner);
        assertStopped(back);
    }

    /** Guards against a run of a cancelled job by a start that the next process executes. */
    @Test
    void startOfACancelledJobIsStoppedOnTheNextProcess() {
        fleet.jobs().cancel("j");
        assertThat(fixture.scheduleStops()).hasSize(1);
        reportWithoutRuns(2);
        assertStopped(runner);
    }

    /** Guards against calls to runners that have not restarted. */
    @Test
    void startIsNotStoppedAgainOnTheProcessThatConfirmedIt() {
        reportWithoutRuns(1);
        fleet.runnerLost("first");
        reportWithoutRuns(1);
        assertThat(fixture.scheduleStops()).isEmpty();
        assertThat(runner.startBlock()).isEqualTo(StartBlock.NONE);
    }

    /** Guards against runners that get no tasks although no start can reach them any more. */
    @Test
    void startIsForgottenAfterTheLongestDelayOfACommand() {
        fixture.advanceMs(MAX_COMMAND_DELAY_MS);
        reportWithoutRuns(2);
        assertThat(fixture.scheduleStops()).isEmpty();
        assertThat(runner.startBlock()).isEqualTo(StartBlock.NONE);
    }

    /** Guards against runners that get no tasks because a process never confirms a stop. */
    @Test
    void nextProcessGetsTasksAfterTheLongestDelayOfACommand() {
        reportWithoutRuns(2);
        fixture.advanceMs(MAX_COMMAND_DELAY_MS);
        reportWithoutRuns(2);
        assertThat(fixture.scheduleStops()).isEmpty();
        assertThat(runner.startBlock()).isEqualTo(StartBlock.NONE);
    }
}
