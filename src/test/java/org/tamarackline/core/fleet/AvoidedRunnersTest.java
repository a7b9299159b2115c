package org.tamarackline.core.fleet;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a task which failed or stalled on a runner runs elsewhere if it can: guards against a task that is never
 * started again, because it avoids all runners that may run it.
 */
class AvoidedRunnersTest {

    private static final long LARGE = 16_000;
    private static final long ONE_TASK = 1_000;

    /** Longest documented delay before a task runs again on a runner that it avoids. */
    private static final long RETRY_MS = 4_000;

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();
    private long lastEnd;

    private FleetRunner addRunner(String id, long processorMillis, String... labels) {
        return fixture.addRunner(FleetFixture.descriptor(id, FleetFixture.SERVICE, processorMillis, Set.of(labels)));
    }

    private void add(JobDefinition job) {
        fleet.jobs().add(job, JobProgress.NONE, false, 0);
    }

    /** Adds a job with three attempts. */
    private void addWithThreeAttempts(StepDefinition step) {
        QueueDefinition queue =
                new QueueDefinition("queue", "host", "/q/", FleetFixture.SERVICE, 0, 3, 2, 1_000, false);
        add(new JobDefinition("j", queue, "spec", List.of(step), 0, 0, 0, 0));
    }

    private void fail(Run run) {
        fixture.applyStartResult(run, StartResult.STARTED);
        fixture.reportStatus(run.runner(), List.of(), List.of(FleetFixture.endedRun(++lastEnd, run, EndReason.FAILED)));
    }

    private List<String> runnersOfStarts() {
        return fixture.scheduleStarts().stream().map(run -> run.runner().id()).toList();
    }

    @Test
    void onlyRunnerWithTheLabelIsTriedAgain() {
        addRunner("labelled", LARGE, "b");
        addRunner("other", LARGE, "a");
        addWithThreeAttempts(FleetFixture.labelled(1, "b", 0));
        fail(fixture.scheduleStarts().getFirst());
        assertThat(runnersOfStarts()).as("at once").isEmpty();
        fixture.advanceMs(RETRY_MS);
        List<Run> second = fixture.scheduleStarts();
        assertThat(second).hasSize(1);
        fail(second.getFirst());
        fixture.advanceMs(RETRY_MS);
        assertThat(runnersOfStarts()).containsExactly("labelled");
    }

    @Test
    void onlyRunnerOfTheServiceIsTriedAgain() {
        addRunner("a", LARGE);
        fixture.addRunner(FleetFixture.descriptor("b", "another", LARGE, Set.of()));
        add(FleetFixture.job("j", FleetFixture.step(3)));
        fixture.scheduleStarts().forEach(this::fail);
        fixture.advanceMs(RETRY_MS);
        assertThat(runnersOfStarts()).containsExactly("a", "a", "a");
    }

    @Test
    void runnerIsTriedAgainOnceTheOthersHaveLeft() {
        addRunner("a", LARGE);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        fail(fixture.scheduleStarts().getFirst());
        addRunner("b", LARGE);
        fleet.runnerDeregistered("b");
        fixture.advanceMs(RETRY_MS);
        assertThat(runnersOfStarts()).containsExactly("a");
    }

    @Test
    void runnerIsTriedAgainIfTheOthersDrainOrHaveTheirShareOfTheStep() {
        addRunner("a", ONE_TASK, "b");
        addRunner("c", LARGE, "b");
        addWithThreeAttempts(FleetFixture.labelled(2, "b", 1));
        List<Run> first = fixture.scheduleStarts();
        assertThat(first).hasSize(2);
        fixture.applyStartResult(first.get(1), StartResult.STARTED);
        fail(first.get(0));
        fixture.advanceMs(RETRY_MS);
        fixture.reportStatus(first.get(1).runner(), List.of(FleetFixture.activeRun(first.get(1), 50)), List.of());
        assertThat(runnersOfStarts()).containsExactly(first.get(0).runner().id());
    }

    /** Guards against tasks of a step that wait behind one which avoids the only free runner. */
    @Test
    void otherTasksOfTheStepStartOnTheRunnerThatOneAvoids() {
        addRunner("a", 2 * ONE_TASK);
        add(FleetFixture.job("j", FleetFixture.step(4)));
        List<Run> first = fixture.scheduleStarts();
        assertThat(first).hasSize(2);
        first.forEach(this::fail);
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().key().index())
                .containsExactly(2, 3);
    }

    /** Guards against a retry on the same runner, where the task may fail again, while others may run it. */
    @Test
    void anotherRunnerIsPreferredHoweverLoaded() {
        addRunner("a", LARGE);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        fail(fixture.scheduleStarts().getFirst());
        addRunner("b", ONE_TASK);
        fixture.advanceMs(RETRY_MS);
        assertThat(runnersOfStarts()).containsExactly("b");
    }

    /** Guards against a task that waits for good for runners which others occupy. */
    @Test
    void runnerIsNoLongerAvoidedAfterSomeTime() {
        addRunner("b", 9 * ONE_TASK);
        add(FleetFixture.job("occupying", FleetFixture.longRunning(9)));
        assertThat(fixture.scheduleStarts()).hasSize(9);
        addRunner("a", ONE_TASK);
        add(FleetFixture.job("j", FleetFixture.step(1)));
        fail(fixture.scheduleStarts().getFirst());
        fixture.advanceMs(RETRY_MS);
        assertThat(runnersOfStarts()).isEmpty();
        fixture.advanceMs(12_000);
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().job().id() + " on " + run.runner().id())
                .contains("j on a");
    }

    @Test
    void gangIsTriedAgainOnTheOnlyRunnersThatHoldIt() {
        addRunner("a", 2 * ONE_TASK);
        add(FleetFixture.job("j", FleetFixture.gang(2)));
        List<Run> first = fixture.scheduleStarts();
        first.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        fixture.reportStatus(
                first.getFirst().runner(),
                List.of(),
                List.of(
                        FleetFixture.endedRun(1, first.get(0), EndReason.FAILED),
                        FleetFixture.endedRun(2, first.get(1), EndReason.GANG_BROKEN)));
        fixture.advanceMs(RETRY_MS);
        assertThat(runnersOfStarts()).containsExactly("a", "a");
    }

    @Test
    void stalledTaskIsTriedAgainOnTheOnlyRunner() {
        FleetRunner runner = addRunner("a", LARGE);
        fixture.addRunner(FleetFixture.descriptor("b", "another", LARGE, Set.of()));
        add(FleetFixture.job("j", FleetFixture.step(1)));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        fixture.advanceMs(5_000);
        fixture.reportStatus(runner, List.of(FleetFixture.activeRun(run, 0)), List.of());
        assertThat(fixture.scheduleStops()).hasSize(1);
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, run, EndReason.STOPPED)));
        fixture.advanceMs(RETRY_MS);
        assertThat(runnersOfStarts()).containsExactly("a");
    }
}
