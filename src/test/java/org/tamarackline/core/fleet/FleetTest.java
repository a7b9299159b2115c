package org.tamarackline.core.fleet;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the scheduling decisions of {@link Fleet}: starts, stops, failures, migration and takeover. */
class FleetTest {

    /** Time after which a stop without an effect is due again. */
    private static final long STOP_RETRY_MS = SchedulingLimits.STOP_RETRY_NANOS / 1_000_000 + 1;

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();

    private void add(JobDefinition job) {
        fleet.jobs().add(job, JobProgress.NONE, false, 0);
    }

    /** Guards against a start before all tasks of a dependency are done. */
    @Test
    void laterStepWaitsForAllTasksOfTheEarlierOne() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(2), FleetFixture.step(1, 0)));
        List<Run> first = fixture.scheduleStarts();
        assertThat(first).hasSize(2);
        first.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        fixture.reportStatus(
                runner,
                List.of(FleetFixture.activeRun(first.get(1), 10)),
                List.of(FleetFixture.endedRun(1, first.get(0), EndReason.DONE)));
        assertThat(fixture.scheduleStarts()).isEmpty();
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(2, first.get(1), EndReason.DONE)));
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().key().step())
                .containsExactly(1);
    }

    /** Guards against a second run of a task whose start got no response and takes effect late. */
    @Test
    void startWithoutResponseIsStoppedBeforeTheTaskStartsElsewhere() {
        FleetRunner first = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.addRunner("b", 16_000);
        fixture.applyStartResult(run, StartResult.UNKNOWN);
        fixture.reportStatus(first, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).as("before the stop is confirmed").isEmpty();
        fleet.applyStopConfirmation(first, run.task().key(), run.number(), fixture.nowNanos());
        assertThat(fixture.scheduleStarts())
                .as("before a status after the stop")
                .isEmpty();
        fixture.reportStatus(first, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1).extracting(Run::number).containsExactly(run.number() + 1);
    }

    /** Guards against counting a failure twice when an end is reported again after a change of leader. */
    @Test
    void failureThatIsReportedAgainCountsOnce() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        RunnerStatus.EndedRun end = FleetFixture.endedRun(1, run, EndReason.FAILED);
        fixture.reportStatus(runner, List.of(), List.of(end));
        JobProgress stored = FleetFixture.takeDirtyJobs(fleet).getFirst().progress();

        FleetFixture next = new FleetFixture(2);
        next.fleet().jobs().add(FleetFixture.job("j", FleetFixture.step(1)), stored, true, 0);
        FleetRunner again = next.addRunner("a", 16_000);
        next.reportStatus(again, List.of(), List.of(end));
        assertThat(next.fleet().jobs().state("j")).contains(JobState.RUNNING);
        assertThat(FleetFixture.takeDirtyJobs(next.fleet())).noneMatch(job -> job.terminalState() != null);
    }

    /**
     * Guards against a start beyond the maximum attempts because a new leader learns of the failures in another order.
     */
    @Test
    void failuresCountInWhateverOrderTheyAreReported() {
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, true, 0);
        TaskKey task = new TaskKey("j", 0, 0, 0);
        fixture.reportStatus(
                fleet.runnerRegistered(FleetFixture.descriptor("b", 16_000)),
                List.of(),
                List.of(new RunnerStatus.EndedRun(1, task, 2, EndReason.FAILED, "")));
        fixture.reportStatus(
                fleet.runnerRegistered(FleetFixture.descriptor("a", 16_000)),
                List.of(),
                List.of(new RunnerStatus.EndedRun(1, task, 1, EndReason.FAILED, "")));
        fixture.addRunner("c", 16_000);
        assertThat(fixture.scheduleStarts()).isEmpty();
        assertThat(FleetFixture.takeDirtyJobs(fleet))
                .extracting(Job::terminalState)
                .containsExactly(JobState.FAILED);
    }

    /** Guards against starting an inherited task that a silent runner may still run. */
    @Test
    void inheritedTasksWaitForEveryExpectedRunner() {
        fixture.addRunner("a", 16_000);
        fleet.expectStatus(FleetFixture.descriptor("silent", 16_000));
        fleet.jobs().add(FleetFixture.job("old", FleetFixture.step(1)), JobProgress.NONE, true, 0);
        add(FleetFixture.job("new", FleetFixture.step(1)));
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().job().id())
                .containsExactly("new");
        fleet.runnerLost("silent");
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().job().id())
                .containsExactly("old");
    }

    /** Guards against stopping a run that an earlier leader started. */
    @Test
    void adoptsRunsOfAnEarlierLeader() {
        FleetRunner runner = fleet.runnerRegistered(FleetFixture.descriptor("a", 16_000));
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, true, 0);
        TaskKey task = new TaskKey("j", 0, 0, 0);
        fixture.reportStatus(runner, List.of(new RunnerStatus.ActiveRun(task, 7, "", 50, -1)), List.of());
        assertThat(fixture.scheduleStarts()).isEmpty();
        assertThat(fixture.scheduleStops()).isEmpty();
        assertThat(fleet.jobs().state("j")).contains(JobState.RUNNING);
    }

    /** Guards against a best-effort task that stays paused because a new leader assumes that it runs at full speed. */
    @Test
    void setsTheSpeedOfAdoptedBestEffortRuns() {
        FleetRunner runner = fleet.runnerRegistered(FleetFixture.descriptor("a", 16_000));
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.bestEffort()), JobProgress.NONE, true, 0);
        TaskKey task = new TaskKey("j", 0, 0, 0);
        fixture.reportStatus(runner, List.of(new RunnerStatus.ActiveRun(task, 7, "", 50, 0)), List.of());
        assertThat(fleet.schedule(fixture.nowNanos(), 0, Integer.MAX_VALUE))
                .filteredOn(RunnerCommand.Throttle.class::isInstance)
                .extracting(command -> ((RunnerCommand.Throttle) command).speedPercent())
                .containsExactly(100);
    }

    /** Guards against runs of a cancelled job that continue because their stop command had no effect. */
    @Test
    void cancelledJobIsStopped() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(2)));
        List<Run> runs = fixture.scheduleStarts();
        runs.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        fleet.jobs().cancel("j");
        assertThat(fixture.scheduleStops()).hasSize(2);
        assertThat(fleet.jobs().state("j")).contains(JobState.CANCELLED);
        FleetFixture.takeDirtyJobs(fleet).forEach(fleet.jobs()::markStored);
        fixture.reportStatus(runner, List.of(FleetFixture.activeRun(runs.get(0), 5)), List.of());
        fixture.advanceMs(1_000);
        assertThat(fixture.scheduleStops()).as("repeated while it is reported").hasSize(1);
    }

    /** Guards against every job being late under overload because the oldest is always started first. */
    @Test
    void startsJobsThatCanStillMeetTheirObjectiveFirst() {
        add(FleetFixture.job("late", FleetFixture.step(1)));
        fixture.advanceMs(4_000);
        JobDefinition fresh = FleetFixture.job("fresh", FleetFixture.step(1));
        add(new JobDefinition("fresh", fresh.queue(), "", fresh.steps(), 0, 0, 0, 4_000));
        fixture.addRunner("a", 1_500);
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().job().id())
                .containsExactly("fresh");
    }

    /**
     * Guards against every job being late under overload because new jobs take the capacity of jobs that have begun.
     */
    @Test
    void startsTasksOfRunningJobsBeforeNewJobsThatAreDueEarlier() {
        FleetRunner runner = fixture.addRunner("a", 2_500);
        add(FleetFixture.job("begun", FleetFixture.step(4)));
        List<Run> begun = fixture.scheduleStarts();
        assertThat(begun).hasSize(2);
        begun.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        QueueDefinition tighter =
                new QueueDefinition("tighter", "host", "/t/", FleetFixture.SERVICE, 0, 2, 2, 500, false);
        JobDefinition fresh = FleetFixture.job("fresh", FleetFixture.step(4));
        add(new JobDefinition("fresh", tighter, "", fresh.steps(), 0, 0, 0, 0));
        fixture.reportStatus(
                runner,
                List.of(FleetFixture.activeRun(begun.get(1), 90)),
                List.of(FleetFixture.endedRun(1, begun.get(0), EndReason.DONE)));
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().job().id())
                .containsExactly("begun");
    }

    /** Guards against exponential time in the number of paths through the steps of a job. */
    @Test
    void criticalPathsOfDenseDependenciesAreComputedQuickly() {
        StepDefinition[] steps = new StepDefinition[100];
        for (int step = 0; step < steps.length; step++) {
            Integer[] dependencies = new Integer[step];
            for (int dependency = 0; dependency < step; dependency++) {
                dependencies[dependency] = dependency;
            }
            steps[step] = FleetFixture.step(1, dependencies);
        }
        add(FleetFixture.job("j", steps));
        fixture.addRunner("a", 16_000);
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against reserving more than a runner has. */
    @Test
    void neverExceedsCapacity() {
        fixture.addRunner("a", 3_500);
        add(FleetFixture.job("j", FleetFixture.step(10)));
        assertThat(fixture.scheduleStarts()).hasSize(3);
    }

    /** Guards against a job without any run although most of the capacity is free. */
    @Test
    void startsTheFirstBestEffortTaskOfAJobOnAFullyUsedRunner() {
        fixture.addRunner("a", 1_500);
        add(FleetFixture.job("first", FleetFixture.bestEffort()));
        add(FleetFixture.job("second", FleetFixture.bestEffort()));
        assertThat(fixture.scheduleStarts()).hasSize(2);
    }

    /** Guards against a task that waits forever because it failed on every existing runner. */
    @Test
    void triesAgainWhereItFailedIfThereIsNoOtherRunner() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.FAILED)));
        assertThat(fixture.scheduleStarts()).as("at once").isEmpty();
        fixture.advanceMs(2_000);
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against starting a task again after its last permitted attempt. */
    @Test
    void jobFailsAfterMaxAttempts() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        fixture.addRunner("b", 16_000);
        fixture.addRunner("c", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        for (int attempt = 1; attempt <= 2; attempt++) {
            Run run = fixture.scheduleStarts().getFirst();
            fixture.applyStartResult(run, StartResult.STARTED);
            fixture.reportStatus(
                    run.runner(), List.of(), List.of(FleetFixture.endedRun(attempt, run, EndReason.FAILED)));
        }
        assertThat(fixture.scheduleStarts()).isEmpty();
        FleetFixture.takeDirtyJobs(fleet).forEach(fleet.jobs()::markStored);
        assertThat(fleet.jobs().state("j")).contains(JobState.FAILED);
        assertThat(runner.busy()).isFalse();
    }

    /** Guards against reporting a job as completed before that is stored. */
    @Test
    void completedOnlyOnceStored() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.DONE)));
        assertThat(fleet.jobs().state("j")).contains(JobState.RUNNING);
        FleetFixture.takeDirtyJobs(fleet).forEach(fleet.jobs()::markStored);
        assertThat(fleet.jobs().state("j")).isEqualTo(Optional.of(JobState.COMPLETED));
    }

    /** Guards against runs that are taken to exist after their runner restarted under the same identifier. */
    @Test
    void restartedRunnerRunsNothing() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /**
     * Guards against mixing latency-critical images on every runner, so that each best-effort image interferes with
     * some task on any runner.
     */
    @Test
    void keepsLatencyCriticalTasksOfOneImageTogether() {
        fixture.addRunner("a", 8_000);
        fixture.addRunner("b", 8_000);
        add(FleetFixture.job("web", FleetFixture.latencyCritical("web", 3, 1_000)));
        add(FleetFixture.job("api", FleetFixture.latencyCritical("api", 3, 1_000)));
        List<Run> runs = fixture.scheduleStarts();
        assertThat(runs).hasSize(6);
        assertThat(runs)
                .extracting(run -> run.task().step().image() + run.runner().id())
                .containsOnly("apia", "webb");
    }

    /**
     * Guards against a best-effort task that stays paused beside a latency-critical one while another runner has
     * processor time for it.
     */
    @Test
    void migratesAThrottledTaskToARunnerWithoutLatencyCriticalTasks() {
        FleetRunner busy = fixture.addRunner("a", 8_000);
        add(FleetFixture.job("web", FleetFixture.latencyCritical("web", 1, 2_000)));
        add(FleetFixture.job("x", FleetFixture.bestEffort("x")));
        List<Run> runs = fixture.scheduleStarts();
        runs.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        for (int i = 0; i < 6; i++) {
            fixture.advanceMs(500);
            fixture.reportStatus(
                    busy,
                    List.of(
                            FleetFixture.activeRun(runs.getFirst(), 50, 150),
                            FleetFixture.activeRun(runs.getLast(), 10, 0)),
                    List.of());
        }
        assertThat(fixture.scheduleStops()).as("without another runner").isEmpty();
        fixture.addRunner("b", 8_000);
        fixture.advanceMs(500);
        fixture.scheduleStarts();
        assertThat(fixture.scheduleStops())
                .extracting(RunnerCommand.Stop::runNumber)
                .containsExactly(runs.getLast().number());
        fixture.reportStatus(
                busy,
                List.of(FleetFixture.activeRun(runs.getFirst(), 50, 150)),
                List.of(new RunnerStatus.EndedRun(
                        1, runs.getLast().task().key(), runs.getLast().number(), EndReason.STOPPED, "saved")));
        assertThat(fixture.scheduleStarts()).singleElement().satisfies(run -> {
            assertThat(run.runner().id()).isEqualTo("b");
            assertThat(run.checkpoint()).isEqualTo("saved");
        });
    }

    /** Guards against an overloaded node that sends more starts than can be confirmed in time. */
    @Test
    void startsNoMoreThanAllowedAndTheMostUrgentFirst() {
        fixture.addRunner("a", 16_000);
        JobDefinition plan = FleetFixture.job("plan", FleetFixture.step(5));
        QueueDefinition later =
                new QueueDefinition("later", "host", "/l/", FleetFixture.SERVICE, 1, 2, 2, 1_000, false);
        add(new JobDefinition("plan", later, "", plan.steps(), 0, 0, 0, 0));
        add(FleetFixture.job("urgent", FleetFixture.step(2)));
        assertThat(fleet.schedule(fixture.nowNanos(), 0, 0)).isEmpty();
        assertThat(fleet.schedule(fixture.nowNanos(), 0, 3))
                .extracting(command ->
                        ((RunnerCommand.Start) command).run().task().job().id())
                .containsExactly("urgent", "urgent", "plan");
    }

    /** Guards against a run of a cancelled job that goes on because its stop was lost and the next status comes late. */
    @Test
    void stopOfAnUnknownRunIsRepeatedWithoutAFurtherStatus() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        RunnerStatus.ActiveRun unknown = new RunnerStatus.ActiveRun(new TaskKey("ended", 0, 0, 0), 7, "", 50, -1);
        fixture.reportStatus(runner, List.of(unknown), List.of());
        assertThat(fixture.scheduleStops())
                .extracting(RunnerCommand.Stop::attempt)
                .containsExactly(1);
        fixture.advanceMs(STOP_RETRY_MS);
        assertThat(fixture.scheduleStops())
                .extracting(RunnerCommand.Stop::attempt)
                .containsExactly(2);
        fixture.advanceMs(STOP_RETRY_MS);
        assertThat(fixture.scheduleStops())
                .extracting(RunnerCommand.Stop::attempt)
                .containsExactly(3);
        fixture.reportStatus(runner, List.of(), List.of());
        fixture.advanceMs(STOP_RETRY_MS);
        assertThat(fixture.scheduleStops()).isEmpty();
    }

    /** Guards against stops that are sent for good to a runner whose lease has expired. */
    @Test
    void unknownRunsOfALostRunnerAreNotStopped() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        RunnerStatus.ActiveRun unknown = new RunnerStatus.ActiveRun(new TaskKey("ended", 0, 0, 0), 7, "", 50, -1);
        fixture.reportStatus(runner, List.of(unknown), List.of());
        fleet.runnerLost("a");
        assertThat(fixture.scheduleStops()).isEmpty();
        fixture.advanceMs(STOP_RETRY_MS);
        assertThat(fixture.scheduleStops()).isEmpty();
    }

    /** Guards against stopping a run because only the response to its start was lost or late. */
    @Test
    void keepsARunThatIsReportedBeforeItsStartTimesOut() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.reportStatus(runner, List.of(FleetFixture.activeRun(run, 5)), List.of());
        fixture.applyStartResult(run, StartResult.UNKNOWN);
        assertThat(fixture.scheduleStops()).isEmpty();
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.DONE)));
        assertThat(FleetFixture.takeDirtyJobs(fleet))
                .extracting(Job::terminalState)
                .containsExactly(JobState.COMPLETED);
    }

    /**
     * Guards against a long-running task that is down for a whole lease because it ended together with a runner that
     * had announced that it would leave.
     */
    @Test
    void migratesALongRunningTaskOffADrainingRunner() {
        FleetRunner leaving = fixture.addRunner("a", 8_000);
        add(FleetFixture.job("web", FleetFixture.latencyCritical("web", 1, 2_000)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        fixture.reportStatus(leaving, List.of(FleetFixture.activeRun(run, 100)), List.of());
        fleet.runnerRegistered(leaving.descriptor().asDraining());
        fixture.advanceMs(500);
        fixture.scheduleStarts();
        assertThat(fixture.scheduleStops()).as("without another runner").isEmpty();
        fixture.addRunner("b", 8_000);
        fixture.advanceMs(500);
        fixture.scheduleStarts();
        assertThat(fixture.scheduleStops()).hasSize(1);
        fixture.reportStatus(leaving, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.STOPPED)));
        assertThat(fixture.scheduleStarts())
                .extracting(next -> next.runner().id())
                .containsExactly("b");
    }

    /** Guards against one silent runner that delays the long-running tasks of all other runners after a takeover. */
    @Test
    void inheritedLongRunningTaskWaitsOnlyForItsStoredRunner() {
        FleetRunner runner = fixture.addRunner("a", 1_500);
        JobDefinition onA = FleetFixture.job("onA", FleetFixture.longRunning(1));
        JobDefinition onB = FleetFixture.job("onB", FleetFixture.longRunning(1));
        JobDefinition nowhere = FleetFixture.job("nowhere", FleetFixture.longRunning(1));
        add(onA);
        fixture.scheduleStarts().forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        fixture.addRunner("b", 1_500);
        add(onB);
        fixture.scheduleStarts().forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        assertThat(runner.busy()).isTrue();

        FleetFixture next = new FleetFixture(2);
        next.fleet().expectStatus(FleetFixture.descriptor("b", 1_500));
        for (JobDefinition job : List.of(onA, onB, nowhere)) {
            next.fleet().jobs().add(job, fixture.progress(job.id()), true, 0);
        }
        next.addRunner("a", 16_000);
        assertThat(next.scheduleStarts())
                .extracting(run -> run.task().job().id())
                .containsExactlyInAnyOrder("onA", "nowhere");
        next.fleet().runnerLost("b");
        assertThat(next.scheduleStarts())
                .extracting(run -> run.task().job().id())
                .containsExactly("onB");
    }

    /** Guards against starting a run that was cancelled while its placement was being stored. */
    @Test
    void longRunningTaskCancelledBeforeItsPlacementIsStoredIsNotStarted() {
        FleetRunner runner = fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.longRunning(1)));
        assertThat(fixture.scheduleStartsWithoutStoring()).isEmpty();
        Job job = FleetFixture.takeDirtyJobs(fleet).getFirst();
        List<Run> placed = fleet.pendingStarts().unstored(job);
        assertThat(placed).hasSize(1);
        fleet.jobs().cancel("j");
        fleet.pendingStarts().markStored(placed);
        assertThat(fixture.scheduleStartsWithoutStoring()).isEmpty();
        assertThat(runner.busy()).isFalse();
    }

    /**
     * Guards against a long-running task that waits for a runner which became silent while the placement was being
     * stored.
     */
    @Test
    void longRunningTaskIsPlacedElsewhereIfItsRunnerFallsSilentBeforeTheStart() {
        fixture.addRunner("a", 16_000);
        add(FleetFixture.job("j", FleetFixture.longRunning(1)));
        assertThat(fixture.scheduleStartsWithoutStoring()).isEmpty();
        fixture.addRunner("b", 16_000);
        fleet.runnerSilent("a");
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.runner().id())
                .containsExactly("b");
    }
}
