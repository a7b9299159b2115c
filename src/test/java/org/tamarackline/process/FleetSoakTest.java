package org.tamarackline.process;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.tamarackline.process.soak.FleetSoak;
import org.tamarackline.process.soak.SoakReport;
import org.tamarackline.process.soak.SoakSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against long-running tasks that stand, run twice or are forgotten, and against tasks of cancelled jobs that run
 * on, while leaders and runners are lost and connections go silent.
 */
class FleetSoakTest {

    private static final long SEED = 21;
    private static final Duration DURATION = Duration.ofSeconds(66);

    @Test
    void longRunningTasksStartAgainInTimeWhileLeadersReplaceEachOther() throws Exception {
        Path directory = Path.of("target", "soak", Long.toString(SEED));
        SoakReport report = FleetSoak.run(new SoakSettings(SEED, DURATION, 7, 10, 0, directory));
        assertThat(report.faults()).isPositive();
        assertThat(report.longRunningJobs()).isPositive();
        assertThat(report.checkedCancellations()).isPositive();
        assertThat(report.violations())
                .as(() -> String.join("\n", report.summary()))
                .isEmpty();
    }
}
