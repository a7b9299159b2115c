package org.tamarackline.core.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how {@link Lateness} ranks tasks. */
class LatenessTest {

    private final FleetFixture fixture = new FleetFixture(1);
    private final Fleet fleet = fixture.fleet();

    /** Guards against restarting a long-running task after all new jobs because its own job was accepted long ago. */
    @Test
    void restartOfALongRunningTaskIsAsUrgentAsANewJob() {
        StepDefinition longRunning = FleetFixture.latencyCritical("web", 1, 1_000);
        fleet.jobs().add(FleetFixture.job("lasting", longRunning), JobProgress.NONE, false, 0);
        fixture.advanceMs(60_000);
        JobDefinition job = FleetFixture.job("new", FleetFixture.step(1));
        JobDefinition fresh = new JobDefinition("new", job.queue(), "", job.steps(), 0, 0, 0, 60_000);
        fleet.jobs().add(fresh, JobProgress.NONE, false, 0);
        fixture.addRunner("a", 1_500);
        assertThat(fixture.scheduleStarts())
                .extracting(run -> run.task().job().id())
                .containsExactly("lasting");
    }
}
