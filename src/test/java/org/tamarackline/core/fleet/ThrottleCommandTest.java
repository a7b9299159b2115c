package org.tamarackline.core.fleet;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which {@link RunnerCommand.Throttle} commands change the speed state of a run. */
class ThrottleCommandTest {

    /**
     * Guards against a log that misses the start or end of a pause, or that is filled with changes between reduced
     * speeds.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 100, true",
        "0, 60, true",
        "60, 0, true",
        "100, 0, true",
        "60, 100, true",
        "100, 60, true",
        "60, -1, true",
        "60, 80, false",
        "80, 40, false",
    })
    void distinguishesPausedThrottledAndFullSpeed(
            int speedPercent, int previousSpeedPercent, boolean changesSpeedState) {
        assertThat(new RunnerCommand.Throttle(null, speedPercent, previousSpeedPercent).changesSpeedState())
                .isEqualTo(changesSpeedState);
    }
}
