package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests statuses that list only some of the ended runs, or list them out of order. */
class EndedRunsTest {

    /** Number of ended runs in a status from which further ones may be missing. */
    private static final int MAX_REPORTED_ENDS = 500;

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();

    /** Guards against a second run of a task whose end is not in the status yet. */
    @Test
    void runThatIsMissingFromATruncatedStatusIsNotStartedAgain() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, false, 0);
        Run run = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(run, StartResult.STARTED);
        fixture.reportStatus(runner, List.of(), endsOfOtherTasks());
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    /** Guards against a successor that starts a task whose end is not in the first status. */
    @Test
    void inheritedTaskIsNotStartedAfterATruncatedStatus() {
        fixture.addRunner("other", 16_000);
        FleetRunner runner = fleet.expectStatus(FleetFixture.descriptor("r", 16_000));
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(1)), JobProgress.NONE, true, 0);
        fixture.reportStatus(runner, List.of(), endsOfOtherTasks());
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    /** Guards against an end that is skipped because a later one is listed before it. */
    @Test
    void endsThatAreListedOutOfOrderAreAllProcessed() {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.step(2)), JobProgress.NONE, false, 0);
        List<Run> runs = fixture.scheduleStarts();
        runs.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        List<RunnerStatus.EndedRun> ends = List.of(endOf(runs.get(1), 2), endOf(runs.get(0), 1));
        fixture.reportStatus(runner, List.of(), ends);
        assertThat(fixture.scheduleStarts()).isEmpty();
    }

    /** Guards against the acknowledgement of an end whose job was not part of the stored transaction. */
    @Test
    void endsAfterThatOfADirtyJobAreNotToBeStored() {
        FleetRunner runner = reportEndsOf("a", "b", "c");
        assertThat(positionToStore(runner)).isZero();
        Job first = fleet.jobs().takeDirtyJobWithEnds().orElseThrow();
        assertThat(first.id()).isEqualTo("a");
        assertThat(positionToStore(runner)).isEqualTo(1);
        assertThat(fleet.jobs().takeDirtyJob().orElseThrow().id()).isEqualTo("b");
        assertThat(positionToStore(runner)).isEqualTo(2);
    }

    /** Guards against the acknowledgement of an end whose job's transaction failed, by a later one without the job. */
    @Test
    void endOfAJobThatWasNotStoredIsNotToBeStoredAgainWithoutTheJob() {
        FleetRunner runner = reportEndsOf("a", "b");
        List<Job> taken = FleetFixture.takeDirtyJobs(fleet);
        assertThat(positionToStore(runner)).isEqualTo(2);
        fleet.jobs().cancel("c");
        fleet.jobs().returnDirtyJobs(taken);
        assertThat(positionToStore(runner)).isZero();
        assertThat(FleetFixture.takeDirtyJobs(fleet))
                .as("jobs that were not stored come before those that changed since")
                .extracting(Job::id)
                .containsExactly("a", "b", "c");
        assertThat(positionToStore(runner)).isEqualTo(2);
    }

    /** Guards against the acknowledgement of a second end of a task before the first one is stored. */
    @Test
    void endOfATaskThatIsDoneWaitsForItsJob() {
        FleetRunner runner = reportEndsOf("a");
        FleetRunner other = fixture.addRunner("other", 16_000);
        RunnerStatus.EndedRun secondEnd =
                new RunnerStatus.EndedRun(1, new TaskKey("a", 0, 0, 0), 2, EndReason.DONE, "");
        fixture.reportStatus(other, List.of(), List.of(secondEnd));
        assertThat(positionToStore(other)).isZero();
        FleetFixture.takeDirtyJobs(fleet);
        assertThat(positionToStore(other)).isEqualTo(1);
        assertThat(positionToStore(runner)).isEqualTo(1);
    }

    /** Guards against the position of an earlier process, which a later one would discard ends for. */
    @Test
    void newProcessHasNoEndsToStore() {
        FleetRunner runner = reportEndsOf("a");
        FleetFixture.takeDirtyJobs(fleet);
        fixture.reportStatus(runner, 2, List.of(), List.of());
        assertThat(fleet.processedEndsToStore(runner, List.of())).isEqualTo(new ProcessedEnds(2, 0));
    }

    /** Adds the jobs "a", "b" and "c", starts them and reports the ends of some. */
    private FleetRunner reportEndsOf(String... ended) {
        FleetRunner runner = fixture.addRunner("r", 16_000);
        for (String id : List.of("a", "b", "c")) {
            fleet.jobs().add(FleetFixture.job(id, FleetFixture.step(1)), JobProgress.NONE, false, 0);
        }
        List<RunnerStatus.ActiveRun> active = new ArrayList<>();
        List<RunnerStatus.EndedRun> ends = new ArrayList<>();
        for (Run run : fixture.scheduleStarts()) {
            fixture.applyStartResult(run, StartResult.STARTED);
            if (List.of(ended).contains(run.task().key().job())) {
                ends.add(endOf(run, ends.size() + 1));
            } else {
                active.add(FleetFixture.activeRun(run, 1));
            }
        }
        fixture.reportStatus(runner, active, ends);
        return runner;
    }

    private long positionToStore(FleetRunner runner) {
        return fleet.processedEndsToStore(runner, List.of()).lastSequenceNumber();
    }

    private static RunnerStatus.EndedRun endOf(Run run, long sequenceNumber) {
        return new RunnerStatus.EndedRun(sequenceNumber, run.task().key(), run.number(), EndReason.DONE, "");
    }

    private static List<RunnerStatus.EndedRun> endsOfOtherTasks() {
        List<RunnerStatus.EndedRun> ends = new ArrayList<>();
        for (int i = 1; i <= MAX_REPORTED_ENDS; i++) {
            ends.add(new RunnerStatus.EndedRun(i, new TaskKey("other", 0, 0, i), 1, EndReason.DONE, ""));
        }
        return ends;
    }
}
