package org.tamarackline.core.fleet;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which starts a runner gets while its directory entry and its status are of different processes. */
class RunnerEntryTest {

    private static final String OTHER_SERVICE = "other";

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();

    private static RunnerDescriptor entry(long processStartEpochMs, String service, Set<String> labels) {
        Resources capacity = new Resources(16_000, 64_000, 0);
        return new RunnerDescriptor(
                "r", processStartEpochMs, service, "10.0.0.1:80", "dc", "", false, capacity, labels);
    }

    private static RunnerDescriptor entry(long processStartEpochMs) {
        return entry(processStartEpochMs, FleetFixture.SERVICE, Set.of("a"));
    }

    private void submit(String job, StepDefinition step) {
        fleet.jobs().add(FleetFixture.job(job, step), JobProgress.NONE, false, 0);
    }

    /** Guards against a start on a process without the required label, by the entry of the process before. */
    @Test
    void entryOfTheEarlierProcessPermitsNoStart() {
        FleetRunner runner = fixture.addRunner(entry(1));
        submit("j", FleetFixture.labelled(1, "a", 0));
        fixture.reportStatusBeforeEntry(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).isEmpty();
        assertThat(runner.startBlock()).isEqualTo(StartBlock.ENTRY_OF_OTHER_PROCESS);
        fleet.runnerRegistered(entry(2, FleetFixture.SERVICE, Set.of("b")));
        assertThat(fixture.scheduleStarts()).isEmpty();
        assertThat(runner.startBlock()).isEqualTo(StartBlock.NONE);
    }

    /** Guards against a start on a process of another service, because its entry is read before it has answered. */
    @Test
    void entryOfTheNextProcessPermitsNoStart() {
        FleetRunner runner = fixture.addRunner(entry(1, OTHER_SERVICE, Set.of()));
        submit("j", FleetFixture.step(1));
        fleet.runnerRegistered(entry(2));
        assertThat(fixture.scheduleStarts()).isEmpty();
        fixture.reportStatusBeforeEntry(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a start that was decided by the entry of a process and is sent to the next one. */
    @Test
    void decidedStartIsNotSentOnceAnotherProcessHasReported() {
        FleetRunner runner = fixture.addRunner(entry(1));
        submit("j", FleetFixture.step(1));
        Run run = fixture.scheduleStarts().getFirst();
        assertThat(fleet.maySendStart(run)).isTrue();
        fixture.reportStatusBeforeEntry(runner, 2, List.of(), List.of());
        assertThat(fleet.maySendStart(run)).isFalse();
    }

    /** Guards against a long-running task that stays with the next process because its placement is being stored. */
    @Test
    void longRunningTaskIsPlacedElsewhereOnceTheEntryIsOfTheNextProcess() {
        fixture.addRunner(entry(1));
        submit("j", FleetFixture.longRunning(1));
        assertThat(fixture.scheduleStartsWithoutStoring()).isEmpty();
        fleet.runnerRegistered(entry(2, OTHER_SERVICE, Set.of()));
        fixture.addRunner("other", 16_000);
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.runner().id())
                .containsExactly("other");
    }

    /** Guards against a runner that gets no tasks for good because its entry does not tell of which process it is. */
    @Test
    void entryWithoutAProcessPermitsStarts() {
        FleetRunner runner = fixture.addRunner(entry(0));
        submit("j", FleetFixture.step(1));
        fixture.reportStatusBeforeEntry(runner, 2, List.of(), List.of());
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against moves from a process that stays, by the entry of the one before, which was about to leave. */
    @Test
    void entryOfAnEarlierLeavingProcessMovesNoRun() {
        FleetRunner runner = fixture.addRunner(entry(1));
        submit("j", FleetFixture.longRunning(1));
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        assertThat(runner.draining()).isFalse();
        fleet.runnerRegistered(entry(0).asDraining());
        assertThat(runner.draining()).isTrue();
        fleet.runnerRegistered(entry(2).asDraining());
        assertThat(runner.draining()).isFalse();
    }
}
