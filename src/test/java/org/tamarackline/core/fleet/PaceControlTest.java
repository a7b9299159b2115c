package org.tamarackline.core.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PaceControlTest {

    private static final long TARGET_MS = 100;

    private final FleetFixture fixture = new FleetFixture(1);

    /** Guards against harm that goes on because a rounded reading at the target counts as within it. */
    @Test
    void readingAtTheTargetCountsAsOverIt() {
        FleetRunner runner = fixture.addRunner("a", 8_000);
        fixture.fleet()
                .jobs()
                .add(FleetFixture.job("web", FleetFixture.serving("web", 1, 2_000)), JobProgress.NONE, false, 0);
        fixture.fleet().jobs().add(FleetFixture.job("x", FleetFixture.filler("x")), JobProgress.NONE, false, 0);
        List<Run> runs = fixture.decideStarts();
        assertThat(runs).hasSize(2);
        runs.forEach(run -> fixture.answer(run, StartResult.STARTED));
        for (int i = 0; i < 5; i++) {
            fixture.advanceMs(500);
            fixture.list(
                    runner,
                    List.of(
                            FleetFixture.row(runs.getFirst(), 50, TARGET_MS),
                            FleetFixture.row(runs.getLast(), 10 + i, 0)),
                    List.of());
        }
        assertThat(runs.getLast().pacePercent).isZero();
    }
}
