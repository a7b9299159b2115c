package org.tamarackline.core.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that runs which are not among the leader's own take room on their runner until they are over. */
class OrphanedRunsTest {

    private static final int RUNS_PER_RUNNER = 4;

    private final FleetFixture fixture = new FleetFixture(2);
    private final Fleet fleet = fixture.fleet();
    private final FleetRunner runner = fixture.addRunner("r", 1_000L * RUNS_PER_RUNNER);

    private void submit(String job, StepDefinition step) {
        fleet.jobs().add(FleetFixture.job(job, step), JobProgress.NONE, true, 0);
    }

    private static RunnerStatus.ActiveRun activeRun(String job, int index) {
        return new RunnerStatus.ActiveRun(new TaskKey(job, 0, 0, index), 1, "", 0, -1);
    }

    private static RunnerStatus.EndedRun stopped(long sequenceNumber, RunnerStatus.ActiveRun run) {
        return new RunnerStatus.EndedRun(sequenceNumber, run.task(), run.runNumber(), EndReason.STOPPED, "");
    }

    /** Reports two runs of a job that was cancelled before its runs were reported. */
    private void reportRunsOfACancelledJob() {
        submit("cancelled", FleetFixture.step(2));
        fleet.jobs().cancel("cancelled");
        fixture.reportStatus(runner, List.of(activeRun("cancelled", 0), activeRun("cancelled", 1)), List.of());
    }

    /** Guards against starts over the capacity beside runs of cancelled jobs that a new leader has just told to stop. */
    @Test
    void runsOfACancelledJobTakeRoomUntilTheirEndIsListed() {
        reportRunsOfACancelledJob();
        submit("next", FleetFixture.step(RUNS_PER_RUNNER));
        assertThat(fixture.scheduleStarts()).hasSize(RUNS_PER_RUNNER - 2);
        fixture.reportStatus(runner, List.of(), List.of(stopped(1, activeRun("cancelled", 0))));
        assertThat(fixture.scheduleStarts()).hasSize(2);
    }

    /** Guards against room that is given back when a job is stored as cancelled although its runs are not over. */
    @Test
    void runsOfACancelledJobTakeRoomAfterTheJobIsStored() {
        reportRunsOfACancelledJob();
        FleetFixture.takeDirtyJobs(fleet).forEach(fleet.jobs()::markStored);
        fixture.reportStatus(runner, List.of(activeRun("cancelled", 0), activeRun("cancelled", 1)), List.of());
        submit("next", FleetFixture.step(RUNS_PER_RUNNER));
        assertThat(fixture.scheduleStarts()).hasSize(RUNS_PER_RUNNER - 2);
    }

    /** Guards against starts beside runs of a job that an earlier leader has stored as ended, whose size is not known. */
    @Test
    void runsOfAnUnknownJobTakeAllRoom() {
        fixture.reportStatus(runner, List.of(activeRun("ended", 0)), List.of());
        submit("next", FleetFixture.step(1));
        assertThat(fixture.scheduleStarts()).isEmpty();
        assertThat(runner.startBlock()).isEqualTo(StartBlock.RUNS_OF_UNKNOWN_SIZE);
        fixture.reportStatus(runner, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a second run of a task that takes no room while it is being stopped. */
    @Test
    void runBesideAnotherOfItsTaskTakesRoom() {
        FleetRunner other = fixture.addRunner("other", 1_000);
        submit("j", FleetFixture.step(1));
        fixture.reportStatus(other, List.of(activeRun("j", 0)), List.of());
        fixture.reportStatus(runner, List.of(activeRun("j", 0)), List.of());
        submit("next", FleetFixture.step(RUNS_PER_RUNNER));
        assertThat(fixture.scheduleStarts()).hasSize(RUNS_PER_RUNNER - 1);
    }

    /** Guards against more tasks of a step on a runner than permitted, beside one that is being stopped there. */
    @Test
    void runThatIsBeingStoppedCountsForTheLimitOfItsStep() {
        FleetRunner other = fixture.addRunner("other", 1_000);
        submit("j", FleetFixture.labelled(2, "a", 1));
        fixture.reportStatus(other, List.of(activeRun("j", 0)), List.of());
        fixture.reportStatus(runner, List.of(activeRun("j", 0)), List.of());
        assertThat(fixture.scheduleStarts()).isEmpty();
        fixture.reportStatus(runner, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a start that was decided before the runner reported runs beside which it does not fit. */
    @Test
    void decidedStartIsNotSentWithoutRoom() {
        submit("next", FleetFixture.step(RUNS_PER_RUNNER));
        List<Run> decided = fixture.scheduleStarts();
        reportRunsOfACancelledJob();
        assertThat(fleet.maySendStart(decided.getFirst())).isFalse();
        fixture.applyStartResult(decided.get(0), StartResult.NOT_SENT);
        fixture.applyStartResult(decided.get(1), StartResult.NOT_SENT);
        assertThat(fleet.maySendStart(decided.get(2))).isTrue();
    }

    /** Guards against a placement that is stored while the runner reports runs beside which its task does not fit. */
    @Test
    void placedLongRunningTaskIsNotStartedWithoutRoom() {
        submit("next", FleetFixture.longRunning(RUNS_PER_RUNNER));
        assertThat(fixture.scheduleStartsWithoutStoring()).isEmpty();
        reportRunsOfACancelledJob();
        assertThat(fixture.scheduleStarts()).hasSize(RUNS_PER_RUNNER - 2);
    }

    /** Guards against starts beside the runs of a held job, which go on. */
    @Test
    void runsOfAHeldJobTakeRoom() {
        fleet.jobs().hold(FleetFixture.job("held", FleetFixture.step(3)));
        fixture.reportStatus(runner, List.of(activeRun("held", 0), activeRun("held", 2)), List.of());
        submit("next", FleetFixture.step(RUNS_PER_RUNNER));
        assertThat(fixture.scheduleStarts()).hasSize(RUNS_PER_RUNNER - 2);
    }

    /** Guards against starts beside the runs of a held job whose record cannot be read either. */
    @Test
    void runsOfAHeldJobOfUnknownSizeTakeAllRoom() {
        fleet.jobs().hold("held");
        fixture.reportStatus(runner, List.of(activeRun("held", 0)), List.of());
        submit("next", FleetFixture.step(1));
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    /** Guards against room that is free between the loading of a held job and the next status. */
    @Test
    void runOfALoadedJobThatMustEndTakesRoom() {
        FleetRunner other = fixture.addRunner("other", 1_000);
        JobDefinition held = FleetFixture.job("held", FleetFixture.step(1));
        fleet.jobs().hold(held);
        fixture.reportStatus(runner, List.of(activeRun("held", 0)), List.of());
        fixture.reportStatus(other, List.of(activeRun("held", 0)), List.of());
        fleet.loadHeldJob(held, JobProgress.NONE, fixture.nowNanos(), 0);
        assertThat(fixture.scheduleStops()).hasSize(1);
        assertThat(runner.busy()).isTrue();
        assertThat(other.free().processorMillis()).isZero();
    }

    /** Guards against starts beside a run whose start took effect late and whose stop has only been confirmed. */
    @Test
    void startThatWasGivenUpTakesRoomUntilTheStatusAfterItsStop() {
        submit("late", FleetFixture.step(1));
        Run run = fixture.scheduleStarts().getFirst();
        fleet.runnerLost("r");
        fixture.reportStatus(runner, List.of(), List.of());
        fixture.scheduleStops();
        submit("next", FleetFixture.step(RUNS_PER_RUNNER - 1));
        assertThat(fixture.scheduleStarts()).isEmpty();
        fleet.applyStopConfirmation(runner, run.task().key(), run.number(), fixture.nowNanos());
        assertThat(fixture.scheduleStarts()).hasSize(RUNS_PER_RUNNER - 1);
        assertThat(runner.mayHaveUnreportedRuns()).isTrue();
        fixture.reportStatus(runner, List.of(), List.of());
        assertThat(runner.mayHaveUnreportedRuns()).isFalse();
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a run that takes room on the next process of its runner. */
    @Test
    void runsOfAnEarlierProcessTakeNoRoom() {
        reportRunsOfACancelledJob();
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(runner.free()).isEqualTo(runner.descriptor().capacity());
    }

    /** Guards against a status that was requested before a run was reported and frees its room. */
    @Test
    void statusRequestedBeforeTheRunWasReportedFreesNoRoom() {
        long requestSentNanos = fixture.nowNanos();
        reportRunsOfACancelledJob();
        fleet.applyStatus(runner, new RunnerStatus(1, 5, List.of(), List.of()), requestSentNanos, fixture.nowNanos());
        submit("next", FleetFixture.step(RUNS_PER_RUNNER));
        assertThat(fixture.scheduleStarts()).hasSize(RUNS_PER_RUNNER - 2);
    }
}
