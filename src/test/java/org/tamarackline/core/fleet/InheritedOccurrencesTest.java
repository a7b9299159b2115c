package org.tamarackline.core.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests occurrences that only the clock of an earlier leader found due, and whose creation it did not store: guards
 * against runs that are stopped or repeated because the successor does not know their task.
 */
class InheritedOccurrencesTest {

    private static final long INTERVAL_MS = 1_000;
    private static final TaskKey SECOND_OCCURRENCE = new TaskKey("j", 1, 0, 0);
    private static final TaskKey THIRD_OCCURRENCE = new TaskKey("j", 2, 0, 0);

    private final FleetFixture fixture = new FleetFixture(2);
    private final Fleet fleet = fixture.fleet();
    private final FleetRunner runner = fleet.expectStatus(FleetFixture.descriptor("r", 16_000));

    /** Adds a job of three occurrences, of which the first is done and the second is not due yet. */
    private void addJob(boolean inherited) {
        QueueDefinition queue = FleetFixture.job("q", FleetFixture.step(1)).queue();
        JobDefinition job = new JobDefinition("j", queue, "spec", List.of(FleetFixture.step(1)), 3, 0, INTERVAL_MS, 0);
        JobProgress.TaskProgress done = new JobProgress.TaskProgress(0, 0, 0, true, List.of(), "", List.of());
        fleet.jobs().add(job, new JobProgress(1, List.of(done)), inherited, 0);
        fleet.runnerRegistered(FleetFixture.descriptor("r", 16_000));
    }

    @Test
    void runOfTheNextOccurrenceIsAdopted() {
        addJob(true);
        RunnerStatus.ActiveRun run = new RunnerStatus.ActiveRun(SECOND_OCCURRENCE, 1, "", 10, -1);
        fixture.reportStatus(runner, List.of(run), List.of());
        assertThat(fixture.scheduleStops()).isEmpty();
        fixture.advanceMs(INTERVAL_MS);
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    @Test
    void endOfTheNextOccurrenceIsKept() {
        addJob(true);
        RunnerStatus.EndedRun end = new RunnerStatus.EndedRun(1, SECOND_OCCURRENCE, 1, EndReason.DONE, "");
        fixture.reportStatus(runner, List.of(), List.of(end));
        fixture.advanceMs(INTERVAL_MS);
        assertThat(fixture.scheduleStarts()).isEmpty();
        assertThat(fixture.progress("j").createdOccurrences()).isEqualTo(2);
        fixture.advanceMs(INTERVAL_MS);
        assertThat(fixture.scheduleStarts()).hasSize(1);
    }

    /** Guards against a discarded end of the later one of two occurrences that the earlier leader found due at once. */
    @Test
    void endOfALaterOccurrenceIsKept() {
        addJob(true);
        RunnerStatus.EndedRun end = new RunnerStatus.EndedRun(1, THIRD_OCCURRENCE, 1, EndReason.DONE, "");
        fixture.reportStatus(runner, List.of(), List.of(end));
        fixture.advanceMs(3 * INTERVAL_MS);
        assertThat(fixture.scheduleStarts()).extracting(run -> run.task().key()).containsExactly(SECOND_OCCURRENCE);
        assertThat(fixture.progress("j").createdOccurrences()).isEqualTo(3);
    }

    @Test
    void runOfALaterOccurrenceIsAdopted() {
        addJob(true);
        RunnerStatus.ActiveRun last = new RunnerStatus.ActiveRun(THIRD_OCCURRENCE, 1, "", 10, -1);
        RunnerStatus.ActiveRun next = new RunnerStatus.ActiveRun(SECOND_OCCURRENCE, 1, "", 10, -1);
        fixture.reportStatus(runner, List.of(last, next), List.of());
        assertThat(fixture.scheduleStops()).isEmpty();
        fixture.advanceMs(3 * INTERVAL_MS);
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    /** Guards against a run of an occurrence that the job does not have, which would create all of them. */
    @Test
    void occurrenceThatTheJobDoesNotHaveCreatesNone() {
        addJob(true);
        RunnerStatus.ActiveRun odd = new RunnerStatus.ActiveRun(new TaskKey("j", 3, 0, 0), 1, "", 10, -1);
        fixture.reportStatus(runner, List.of(odd), List.of());
        assertThat(fixture.scheduleStops()).hasSize(1);
        assertThat(fixture.progress("j").createdOccurrences()).isEqualTo(1);
    }

    @Test
    void occurrencesOfOtherJobsAreNotCreated() {
        addJob(false);
        RunnerStatus.ActiveRun next = new RunnerStatus.ActiveRun(SECOND_OCCURRENCE, 1, "", 10, -1);
        RunnerStatus.ActiveRun last = new RunnerStatus.ActiveRun(THIRD_OCCURRENCE, 1, "", 10, -1);
        fixture.reportStatus(runner, List.of(last, next), List.of());
        assertThat(fixture.scheduleStops()).hasSize(2);
        assertThat(fixture.progress("j").createdOccurrences()).isEqualTo(1);
    }
}
