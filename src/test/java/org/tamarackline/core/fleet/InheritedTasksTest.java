package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tamarackline.core.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which tasks of inherited jobs may start while a runner has not reported its status. */
class InheritedTasksTest {

    private final FleetFixture fixture = new FleetFixture(2);
    private final Fleet fleet = fixture.fleet();
    private final FleetRunner runner = fixture.addRunner("a", 16_000);

    private void addInheritedJob(JobDefinition job) {
        fleet.jobs().add(job, JobProgress.NONE, true, 0);
    }

    private void expectSilentRunner() {
        fleet.expectStatus(FleetFixture.descriptor("silent", 16_000));
    }

    /** Guards against tasks that wait for a silent runner although no earlier leader can have started them. */
    @Test
    void stepWhoseDependencyWasSeenRunningNeedNotWait() {
        expectSilentRunner();
        addInheritedJob(FleetFixture.job("j", FleetFixture.step(1), FleetFixture.step(1, 0)));
        TaskKey first = new TaskKey("j", 0, 0, 0);
        RunnerStatus.ActiveRun running = new RunnerStatus.ActiveRun(first, 7, "", 50, -1);
        fixture.reportStatus(runner, List.of(running), List.of());
        fixture.advanceMs(3_000);
        fixture.reportStatus(runner, List.of(running), List.of());
        assertThat(fixture.scheduleStarts()).isEmpty();
        fixture.reportStatus(runner, List.of(), List.of(new RunnerStatus.EndedRun(1, first, 7, EndReason.DONE, "")));
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().key().step())
                .containsExactly(1);
    }

    /** Guards against a second run of a task that an earlier leader may have started on a silent runner. */
    @Test
    void stepWhoseDependencyEndedBeforeTheTakeoverWaits() {
        expectSilentRunner();
        addInheritedJob(FleetFixture.job("j", FleetFixture.step(1), FleetFixture.step(1, 0)));
        TaskKey first = new TaskKey("j", 0, 0, 0);
        fixture.reportStatus(runner, List.of(), List.of(new RunnerStatus.EndedRun(1, first, 7, EndReason.DONE, "")));
        assertThat(fixture.scheduleStarts()).isEmpty();
        fleet.runnerLost("silent");
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /**
     * Guards against a second run of a task whose dependency's end was reported in response to a request of an earlier
     * leader.
     */
    @Test
    void stepWhoseDependencyEndsSoonAfterTheTakeoverWaits() {
        expectSilentRunner();
        addInheritedJob(FleetFixture.job("j", FleetFixture.step(1), FleetFixture.step(1, 0)));
        TaskKey first = new TaskKey("j", 0, 0, 0);
        fixture.reportStatus(runner, List.of(new RunnerStatus.ActiveRun(first, 7, "", 50, -1)), List.of());
        fixture.reportStatus(runner, List.of(), List.of(new RunnerStatus.EndedRun(1, first, 7, EndReason.DONE, "")));
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    /**
     * Guards against a second run of a task whose dependency's end was reported to an earlier leader at once and to this
     * one late, because its next poll got no answer.
     */
    @Test
    void stepWhoseDependencyMayHaveEndedSoonAfterTheTakeoverWaits() {
        expectSilentRunner();
        addInheritedJob(FleetFixture.job("j", FleetFixture.step(1), FleetFixture.step(1, 0)));
        TaskKey first = new TaskKey("j", 0, 0, 0);
        fixture.reportStatus(runner, List.of(new RunnerStatus.ActiveRun(first, 7, "", 50, -1)), List.of());
        fixture.advanceMs(3_000);
        fixture.reportStatus(runner, List.of(), List.of(new RunnerStatus.EndedRun(1, first, 7, EndReason.DONE, "")));
        assertThat(fixture.scheduleStarts()).isEmpty();
        fleet.runnerLost("silent");
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /**
     * Guards against a second run of a task that depends on a gang, whose end an earlier leader may learn from another
     * runner.
     */
    @Test
    void stepAfterAGangWaits() {
        expectSilentRunner();
        addInheritedJob(FleetFixture.job("j", FleetFixture.gang(2), FleetFixture.step(1, 0)));
        TaskKey member = new TaskKey("j", 0, 0, 1);
        fixture.reportStatus(runner, List.of(new RunnerStatus.ActiveRun(member, 7, "", 50, -1)), List.of());
        fixture.advanceMs(3_000);
        fixture.reportStatus(runner, List.of(), List.of(new RunnerStatus.EndedRun(1, member, 7, EndReason.DONE, "")));
        assertThat(fixture.scheduleStarts()).isEmpty();
        fleet.runnerLost("silent");
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().key().step())
                .containsExactly(1);
    }

    /**
     * Guards against a second run of a task that this leader starts beside another run of its dependency: a successor that
     * sees this run end takes it for the one that completed the dependency.
     */
    @Test
    void stepWaitsForTheOtherRunOfItsDependency() {
        fleet.jobs()
                .add(FleetFixture.job("j", FleetFixture.step(1), FleetFixture.step(1, 0)), JobProgress.NONE, false, 0);
        Run lost = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(lost, StartResult.STARTED);
        FleetRunner other = fixture.addRunner("b", 16_000);
        fleet.runnerSilent("a");
        fleet.runnerLost("a");
        Run repeated = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(repeated, StartResult.STARTED);
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, lost, EndReason.DONE)));
        assertThat(fixture.scheduleStarts()).isEmpty();
        fixture.reportStatus(other, List.of(), List.of(FleetFixture.endedRun(1, repeated, EndReason.STOPPED)));
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().key().step())
                .containsExactly(1);
    }

    /** Guards against a leader that is busy for seconds while the other runs of a large step end one after the other. */
    @Test
    @Timeout(5)
    void endsOfOtherRunsOfALargeStepAreAppliedQuickly() {
        int tasks = 2_500;
        fleet.runnerDeregistered("a");
        FleetRunner first = fixture.addRunner(largeRunner("large-a"));
        fleet.jobs()
                .add(
                        FleetFixture.job("j", FleetFixture.step(tasks), FleetFixture.step(tasks, 0)),
                        JobProgress.NONE,
                        false,
                        0);
        List<Run> lost = startOn(first, tasks);
        fleet.runnerLost("large-a");
        FleetRunner second = fixture.addRunner(largeRunner("large-b"));
        List<Run> repeated = startOn(second, tasks);
        fixture.reportStatus(first, List.of(), ends(lost, EndReason.DONE));
        fixture.reportStatus(second, List.of(), ends(repeated, EndReason.STOPPED));
        assertThat(fleet.jobs().readyTaskCount()).isEqualTo(tasks);
    }

    private static RunnerDescriptor largeRunner(String id) {
        Resources capacity = new Resources(10_000_000, 10_000_000, 0);
        return new RunnerDescriptor(
                id, 1, FleetFixture.SERVICE, "10.0.0.1:80", "dc", "r1-1", false, capacity, Set.of("a", "r1-1"));
    }

    private List<Run> startOn(FleetRunner on, int count) {
        List<Run> runs = fixture.scheduleStarts();
        assertThat(runs).hasSize(count).allMatch(run -> run.runner() == on);
        runs.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        return runs;
    }

    private static List<RunnerStatus.EndedRun> ends(List<Run> runs, EndReason reason) {
        List<RunnerStatus.EndedRun> ends = new ArrayList<>();
        runs.forEach(run -> ends.add(FleetFixture.endedRun(ends.size() + 1, run, reason)));
        return ends;
    }

    /** Guards against a step that waits for ever for such a run after its runner was lost. */
    @Test
    void stepStartsOnceTheRunnerOfTheOtherRunIsLost() {
        fleet.jobs()
                .add(FleetFixture.job("j", FleetFixture.step(1), FleetFixture.step(1, 0)), JobProgress.NONE, false, 0);
        Run lost = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(lost, StartResult.STARTED);
        fixture.addRunner("b", 16_000);
        fleet.runnerSilent("a");
        fleet.runnerLost("a");
        fixture.applyStartResult(fixture.scheduleStarts().getFirst(), StartResult.STARTED);
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, lost, EndReason.DONE)));
        fleet.runnerSilent("b");
        fleet.runnerLost("b");
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().key().step())
                .containsExactly(1);
    }
}
