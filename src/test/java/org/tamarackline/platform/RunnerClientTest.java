package org.tamarackline.platform;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.fleet.RunnerCalls.RunnerCommandOutcome;
import org.tamarackline.http.HttpCallResult;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what the response to a command says about its effect. */
class RunnerClientTest {

    private static RunnerCommandOutcome outcomeOf(int status, String body) {
        return RunnerClient.toCommandOutcome(
                new HttpCallResult.Response(status, body.getBytes(StandardCharsets.UTF_8)));
    }

    /** Guards against a second start of a task whose runner failed after it had started the run. */
    @ParameterizedTest
    @ValueSource(ints = {204, 302, 404, 408, 500, 502, 504})
    void commandMayHaveTakenEffectAfterAnUnspecifiedStatus(int status) {
        assertThat(outcomeOf(status, "{}")).isEqualTo(RunnerCommandOutcome.UNKNOWN);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 409, 429, 503})
    void refusedCommandHasNoEffect(int status) {
        assertThat(outcomeOf(status, "{\"reason\":\"room\"}")).isEqualTo(RunnerCommandOutcome.REFUSED);
    }

    @Test
    void runnerThatHasSeenAHigherEpochIsToldApart() {
        assertThat(outcomeOf(409, "{\"reason\":\"fence\"}")).isEqualTo(RunnerCommandOutcome.FENCED);
    }
}
