package org.tamarackline.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a planned stop that refuses requests before the load balancer has reacted, or skips a step after a failure. */
class DrainSequenceTest {

    private static final Duration DRAIN_DELAY = Duration.ofSeconds(3);
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(10);

    private final List<String> events = new ArrayList<>();
    private final Readiness readiness = new Readiness(Optional.empty());

    @Test
    void servesDuringTheDelayAndThenRunsEachStep() throws InterruptedException {
        DrainSequence sequence = sequence(step("handover", true), step("requests", true));
        assertThat(sequence.run()).isTrue();
        assertThat(events)
                .containsExactly(
                        "sleep PT3S draining=true admits=true", "handover admits=false", "requests admits=false");
    }

    @Test
    void continuesAfterAFailedStepAndReportsIt() throws InterruptedException {
        DrainStep failing = new FakeStep("failing", () -> {
            throw new IllegalStateException("platform unavailable");
        });
        DrainSequence sequence = sequence(failing, step("late", false), step("requests", true));
        assertThat(sequence.run()).isFalse();
        assertThat(events).endsWith("late admits=false", "requests admits=false");
    }

    private DrainSequence sequence(DrainStep... steps) {
        return new DrainSequence(readiness, DRAIN_DELAY, STEP_TIMEOUT, List.of(steps), this::recordSleep);
    }

    private void recordSleep(Duration duration) {
        boolean draining = readiness.reasons().contains(Readiness.Reason.DRAINING);
        events.add("sleep %s draining=%b admits=%b".formatted(duration, draining, readiness.admits()));
    }

    private DrainStep step(String name, boolean finished) {
        return new FakeStep(name, () -> {
            events.add("%s admits=%b".formatted(name, readiness.admits()));
            return finished;
        });
    }

    private interface DrainAction {
        boolean run();
    }

    private record FakeStep(String name, DrainAction action) implements DrainStep {
        @Override
        public boolean drain(Duration timeout) {
            return action.run();
        }
    }
}
