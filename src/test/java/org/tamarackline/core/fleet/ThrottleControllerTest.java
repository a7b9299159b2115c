package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how {@link ThrottleController} reacts to latency violations. */
class ThrottleControllerTest {

    private static final double TARGET_MS = 100;
    private static final double BASELINE_LATENCY_MS = 20;
    private static final InterferenceEstimate LOW_LOSS = new InterferenceEstimate(0.2, 0.02);

    private final FleetFixture fixture = new FleetFixture(1);

    /** Guards against a violation that continues because a rounded latency equal to the target counts as met. */
    @Test
    void latencyAtTheTargetCountsAsAViolation() {
        // The model predicts little interference and a low baseline load, so that only the target violation pauses the
        // best-effort task.
        fixture.fleet().restoreInterferenceEstimates(Map.of(new ImagePair("web", "x"), LOW_LOSS));
        List<FleetRunner> runners = List.of(fixture.addRunner("a", 8_000), fixture.addRunner("b", 8_000));
        JobDefinition web = FleetFixture.job("web", FleetFixture.latencyCritical("web", 2, 6_000));
        fixture.fleet().jobs().add(web, JobProgress.NONE, false, 0);
        fixture.fleet().jobs().add(FleetFixture.job("x", FleetFixture.bestEffort("x")), JobProgress.NONE, false, 0);
        List<Run> runs = fixture.scheduleStarts();
        assertThat(runs).hasSize(3);
        runs.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        Run bestEffort = runs.stream()
                .filter(run -> run.task().step().bestEffort())
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 5; i++) {
            fixture.advanceMs(500);
            for (FleetRunner runner : runners) {
                fixture.reportStatus(runner, activeRuns(runs, runner, bestEffort, i), List.of());
            }
        }
        assertThat(bestEffort.speedPercent).isZero();
    }

    private static List<RunnerStatus.ActiveRun> activeRuns(
            List<Run> runs, FleetRunner runner, Run bestEffort, int progressPercent) {
        List<RunnerStatus.ActiveRun> activeRuns = new ArrayList<>();
        for (Run run : runs) {
            if (run.runner() == runner) {
                double latencyMs = runner == bestEffort.runner() ? TARGET_MS : BASELINE_LATENCY_MS;
                activeRuns.add(FleetFixture.activeRun(run, progressPercent, run == bestEffort ? 1_000 : latencyMs));
            }
        }
        return activeRuns;
    }
}
