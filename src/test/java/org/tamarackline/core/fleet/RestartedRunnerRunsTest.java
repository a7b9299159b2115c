package org.tamarackline.core.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which runs a fleet takes for lost when a status shows that a runner has restarted. */
class RestartedRunnerRunsTest {

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();

    /** Guards against a second run of a task that was started on the new process after it had sent its status. */
    @Test
    void runThatWasConfirmedAfterTheStatusWasRequestedIsKept() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, false, 0);
        long requestSentNanos = fixture.nowNanos();
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        fleet.applyStatus(runner, new RunnerStatus(2, 1, List.of(), List.of()), requestSentNanos, fixture.nowNanos());
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    private Run startWithoutResponse() {
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, false, 0);
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.UNKNOWN);
        return run;
    }

    /**
     * Guards against a second run of a task whose unanswered start reaches the new process, although the earlier process
     * had confirmed a stop of the run.
     */
    @Test
    void startWithoutResponseIsStoppedAgainOnTheNewProcess() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startWithoutResponse();
        assertThat(fixture.scheduleStops()).hasSize(1);
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).isEmpty();
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).isEmpty();
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    private Run startTwice() {
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, false, 0);
        Run run = fixture.scheduleStarts().getFirst();
        fleet.startSent(run, fixture.nowNanos());
        fixture.advanceMs(1);
        fleet.applyStartResult(run, StartResult.STARTED, fixture.nowNanos());
        fixture.advanceMs(10);
        return run;
    }

    /** Guards against a second run of a task whose first start reaches the new process, although its second was confirmed. */
    @Test
    void repeatedStartIsStoppedOnTheNewProcess() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startTwice();
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStops()).hasSize(1);
        assertThat(fixture.scheduleStarts()).isEmpty();
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a start of a task that is done, by an attempt which reaches the new process of its runner. */
    @Test
    void repeatedStartOfAnEndedRunIsStoppedOnTheNewProcess() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startTwice();
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.DONE)));
        assertThat(runner.hasUnresolvedStarts()).isFalse();
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStops())
                .extracting(RunnerCommand.Stop::task)
                .containsExactly(run.task().key());
    }

    /** Guards against a start of a task that is done, by an attempt which reaches the process after the next one. */
    @Test
    void repeatedStartIsStoppedOnEachProcessAfterTheOneThatEndedTheRun() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startTwice();
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.DONE)));
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStops()).hasSize(1);
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
        fixture.reportStatus(runner, 3, List.of(), List.of());
        assertThat(fixture.scheduleStops()).hasSize(1);
    }

    /** Guards against a start of a task that is done, by an attempt which reaches a runner that was lost meanwhile. */
    @Test
    void repeatedStartIsStoppedOnTheNextProcessAlthoughTheLostOneHadEndedTheRun() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startTwice();
        fleet.runnerLost("r");
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.DONE)));
        assertThat(fixture.scheduleStops()).isEmpty();
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStops()).hasSize(1);
    }

    /** Guards against a second run of a task whose confirmed run a process lacks that may still receive an attempt. */
    @Test
    void repeatedStartIsStoppedBeforeItsTaskStartsAgainIfTheRunIsMissing() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startTwice();
        fixture.reportStatus(runner, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).isEmpty();
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
        fixture.reportStatus(runner, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a repeated start that is executed by a lost runner once its lease is extended again. */
    @Test
    void repeatedStartIsUnresolvedOnceItsRunnerIsLost() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        startTwice();
        fleet.runnerLost("r");
        assertThat(runner.hasUnresolvedStarts()).isTrue();
    }

    /** Guards against needless stops, which delay the next run of a task, after both attempts have been answered. */
    @Test
    void answeredRepeatedStartIsLostWithTheProcess() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startTwice();
        fleet.startAnswered(run);
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a runner that gets no more tasks because the wait for a start begins again whenever it is lost. */
    @Test
    void waitForAnUnresolvedStartEndsAlthoughTheRunnerIsLostAgain() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        startWithoutResponse();
        fleet.runnerLost("r");
        for (int i = 0; i < 5; i++) {
            fixture.reportStatus(runner, List.of(), List.of());
            fixture.scheduleStops();
            fixture.advanceMs(8_000);
            fleet.runnerLost("r");
        }
        fixture.reportStatus(runner, List.of(), List.of());
        assertThat(runner.hasUnresolvedStarts()).isFalse();
    }

    /** Guards against a cancelled run that goes on because the stops of its start, which was given up before, have ended. */
    @Test
    void stopOfAnAdoptedRunOutlivesItsUnresolvedStart() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startWithoutResponse();
        fleet.runnerLost("r");
        List<RunnerStatus.ActiveRun> running = List.of(FleetFixture.activeRun(run, 10));
        fixture.reportStatus(runner, running, List.of());
        assertThat(fixture.scheduleStops()).hasSize(1);
        fleet.jobs().cancel("j");
        for (int i = 0; i < 14; i++) {
            fixture.advanceMs(1_000);
            fixture.reportStatus(runner, running, List.of());
            fixture.scheduleStops();
        }
        fixture.advanceMs(1_000);
        assertThat(fixture.scheduleStops()).hasSize(1);
    }

    /** Guards against a stop of such a run that is sent to the new process only after the interval of repetitions. */
    @Test
    void startWithoutResponseIsStoppedOnTheNewProcessAtOnce() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        Run run = startWithoutResponse();
        assertThat(fixture.scheduleStops()).hasSize(1);
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStops())
                .extracting(RunnerCommand.Stop::attempt)
                .containsExactly(2);
    }
}
