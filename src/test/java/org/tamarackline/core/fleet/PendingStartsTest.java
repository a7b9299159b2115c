package org.tamarackline.core.fleet;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what happens to a long-running task whose runner changes while the placement is being stored. */
class PendingStartsTest {

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();
    private FleetRunner first;

    @BeforeEach
    void placeOnTheFirstRunner() {
        first = fixture.addRunner("a", 16_000);
        fleet.jobs().add(FleetFixture.job("j", FleetFixture.longRunning(1)), JobProgress.NONE, false, 0);
        assertThat(fixture.scheduleStartsWithoutStoring()).isEmpty();
        assertThat(first.busy()).isTrue();
        fixture.addRunner("b", 16_000);
    }

    /** Guards against a start on a runner that announced its end before the placement was stored. */
    @Test
    void taskStartsElsewhereIfItsRunnerDrainsBeforeThePlacementIsStored() {
        Job job = FleetFixture.takeDirtyJobs(fleet).getFirst();
        List<Run> placed = fleet.pendingStarts().unstored(job);
        fleet.runnerRegistered(first.descriptor().asDraining());
        fleet.pendingStarts().markStored(placed);
        assertStartsOnTheSecondRunner();
    }

    /** Guards against a start on a runner that announced its end while the start waited for others. */
    @Test
    void taskStartsElsewhereIfItsRunnerDrainsBeforeTheStartIsDue() {
        storePlacements();
        fleet.runnerRegistered(first.descriptor().asDraining());
        assertStartsOnTheSecondRunner();
    }

    /** Guards against a start on a runner that has left the service of the task's queue. */
    @Test
    void taskStartsElsewhereIfItsRunnerChangesTheService() {
        storePlacements();
        fleet.runnerRegistered(FleetFixture.descriptor("a", "other", 16_000, Set.of("a", "r1-1")));
        assertStartsOnTheSecondRunner();
    }

    /** Guards against a start on a cordoned runner, which could extend a lease that successors don't wait for. */
    @Test
    void taskStartsElsewhereIfItsRunnerIsCordoned() {
        storePlacements();
        fleet.setRunnerCordoned("a", true);
        assertStartsOnTheSecondRunner();
    }

    /** Guards against a start on a restarted process that may have forgotten the epoch of a successor. */
    @Test
    void taskStartsElsewhereIfTheLeaderIsNotConfirmedForANewProcess() {
        storePlacements();
        fleet.setRunnerConfirmed("a", false);
        assertStartsOnTheSecondRunner();
    }

    /** Guards against a task that is placed again and again on a runner which answers too late for any start to be sent. */
    @Test
    void taskStartsElsewhereIfItsRunnerAnswersLate() {
        storePlacements();
        Run run = fixture.scheduleStarts().getFirst();
        assertThat(run.runner()).isSameAs(first);
        fixture.applyStartResult(run, StartResult.ANSWERED_LATE);
        assertStartsOnTheSecondRunner();
    }

    private void storePlacements() {
        for (Job job : FleetFixture.takeDirtyJobs(fleet)) {
            fleet.pendingStarts().markStored(fleet.pendingStarts().unstored(job));
        }
    }

    private void assertStartsOnTheSecondRunner() {
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.runner().id())
                .containsExactly("b");
        assertThat(first.busy()).isFalse();
    }
}
