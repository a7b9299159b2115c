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
