package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests statuses that list only some of the ended runs, because more of them are not acknowledged than one status holds. */
class TruncatedStatusTest {

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

    private static List<RunnerStatus.EndedRun> endsOfOtherTasks() {
        List<RunnerStatus.EndedRun> ends = new ArrayList<>();
        for (int i = 1; i <= MAX_REPORTED_ENDS; i++) {
            ends.add(new RunnerStatus.EndedRun(i, new TaskKey("other", 0, 0, i), 1, EndReason.DONE, ""));
        }
        return ends;
    }
}
