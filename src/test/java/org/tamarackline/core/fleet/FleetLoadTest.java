package org.tamarackline.core.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the measured load of a fleet. */
class FleetLoadTest {

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();

    private void submit(JobDefinition job) {
        fleet.jobs().add(job, JobProgress.NONE, false, 0);
    }

    private long longestWaitMs() {
        return fleet.load().longestWaitNanos().getFirst() / 1_000_000;
    }

    /** Guards against runs that are counted in another phase than theirs. */
    @Test
    void runsAreCountedByPhase() {
        FleetRunner runner = fixture.addRunner("r", 3_000);
        submit(FleetFixture.job("j", FleetFixture.step(4)));
        List<Run> runs = fixture.scheduleStarts();
        assertThat(runs).hasSize(3);
        fixture.applyStartResult(runs.get(0), StartResult.STARTED);
        fixture.applyStartResult(runs.get(1), StartResult.UNKNOWN);
        FleetLoad load = fleet.load();
        assertThat(load.runningRuns()).isOne();
        assertThat(load.stoppingRuns()).isOne();
        assertThat(load.startingRuns()).isOne();
        assertThat(load.readyTasks()).isOne();
        assertThat(load.openJobs()).isOne();
        assertThat(load.runners()).isOne();
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, runs.getFirst(), EndReason.DONE)));
        assertThat(fleet.load().runningRuns()).isZero();
    }

    /** Guards against a task that is refused again and again and always seems to have just become ready. */
    @Test
    void waitGoesOnUntilAStartIsConfirmed() {
        fixture.addRunner("r", 1_000);
        submit(FleetFixture.job("j", FleetFixture.step(1)));
        fixture.advanceMs(4_000);
        Run refused = fixture.scheduleStarts().getFirst();
        assertThat(longestWaitMs()).as("while the start is not answered").isZero();
        fixture.applyStartResult(refused, StartResult.REFUSED);
        fixture.advanceMs(999);
        assertThat(longestWaitMs()).isEqualTo(5_000);
    }

    /** Guards against a task that started again after a failed run and whose wait includes that run. */
    @Test
    void waitBeginsAnewAfterAConfirmedRun() {
        FleetRunner runner = fixture.addRunner("r", 1_000);
        submit(FleetFixture.job("j", FleetFixture.step(1)));
        fixture.advanceMs(4_000);
        Run failed = fixture.scheduleStarts().getFirst();
        fixture.applyStartResult(failed, StartResult.STARTED);
        fixture.advanceMs(4_000);
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, failed, EndReason.FAILED)));
        fixture.advanceMs(10);
        assertThat(longestWaitMs()).isEqualTo(10);
    }

    /** Guards against a wait that goes on although the runner has reported the end of a run before its start result. */
    @Test
    void endOfARunEndsTheWaitEvenWithoutAStartResult() {
        FleetRunner runner = fixture.addRunner("r", 1_000);
        submit(FleetFixture.job("j", FleetFixture.step(1)));
        fixture.advanceMs(4_000);
        Run failed = fixture.scheduleStarts().getFirst();
        fixture.reportStatus(runner, List.of(), List.of(FleetFixture.endedRun(1, failed, EndReason.FAILED)));
        fixture.advanceMs(10);
        assertThat(longestWaitMs()).isEqualTo(10);
    }

    /** Guards against a priority beyond the lowest one, for which the measured waits have no place. */
    @Test
    void waitsAreToldApartByPriority() {
        submit(jobOfPriority("a", 0));
        fixture.advanceMs(10);
        submit(jobOfPriority("b", 3));
        submit(jobOfPriority("c", QueueDefinition.LOWEST_PRIORITY + 1));
        fixture.advanceMs(10);
        assertThat(fleet.load().longestWaitNanos())
                .containsExactly(20_000_000L, 0L, 0L, 10_000_000L, 0L, 0L, 0L, 0L, 0L, 10_000_000L);
    }

    private static JobDefinition jobOfPriority(String id, int priority) {
        QueueDefinition queue =
                new QueueDefinition("queue", "host", "/q/", FleetFixture.SERVICE, priority, 2, 2, 1_000, false);
        return new JobDefinition(id, queue, "spec", List.of(FleetFixture.step(1)), 0, 0, 0, 0);
    }
}
