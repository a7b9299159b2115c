package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.tamarackline.entry.jobs.RackSimulation.Action;
import org.tamarackline.entry.jobs.RackSimulation.Step;

import static org.assertj.core.api.Assertions.assertThat;

class RackSequencesTest {

    private static final Duration DRIFT_MARGIN = Duration.ofMillis(500);
    private static final int MAX_STEPS = 60;
    private static final int MAX_CHOICE = 1_000;
    private static final long SEED = 20_261_204;
    private static final int SEQUENCES_WITH_A_DEFECT = 100;

    @Provide
    Arbitrary<List<Step>> sequences() {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.of(Action.class), Arbitraries.integers().between(0, MAX_CHOICE))
                .as(Step::new);
        return step.list().ofMinSize(10).ofMaxSize(MAX_STEPS);
    }

    /**
     * Guards against a task on two workers, a worker above its capacity, an eviction that resumes twice or loses its
     * checkpoint, a finished task that runs again, and a task that is lost.
     */
    @Property(seed = "20261204", tries = 500)
    void keepsItsPromisesUnderFaults(@ForAll("sequences") List<Step> steps) {
        assertThat(violations(steps, FakeWorker.Defect.NONE, DRIFT_MARGIN)).isEmpty();
    }

    private static List<String> violations(List<Step> steps, FakeWorker.Defect defect, Duration driftMargin) {
        RackSimulation simulation = new RackSimulation(defect, driftMargin);
        steps.forEach(simulation::apply);
        simulation.heal();
        return simulation.violations;
    }

    /** Shows that the checks notice a restart that does not wait for the lease to lapse. */
    @Example
    void noticesARestartWithoutWaiting() {
        Duration noWait = Duration.ofSeconds(-19);
        assertThat(violationsWith(FakeWorker.Defect.NONE, noWait)).anyMatch(found -> found.contains("runs on"));
    }

    /** Shows that the checks notice a worker whose lease does not lapse. */
    @Example
    void noticesALeaseThatNeverLapses() {
        assertThat(violationsWith(FakeWorker.Defect.LEASE_NEVER_LAPSES, DRIFT_MARGIN))
                .anyMatch(found -> found.contains("runs on"));
    }

    /** Shows that the checks notice a worker that accepts an attempt again. */
    @Example
    void noticesAnAttemptThatIsAcceptedTwice() {
        assertThat(violationsWith(FakeWorker.Defect.ACCEPTS_OLD_ATTEMPTS, DRIFT_MARGIN))
                .isNotEmpty();
    }

    /** Shows that the checks notice a worker that obeys an owner of the past. */
    @Example
    void noticesMissingFencing() {
        assertThat(violationsWith(FakeWorker.Defect.NO_FENCING, DRIFT_MARGIN)).isNotEmpty();
    }

    private static List<String> violationsWith(FakeWorker.Defect defect, Duration driftMargin) {
        Random random = new Random(SEED);
        List<String> found = new ArrayList<>();
        for (int i = 0; i < SEQUENCES_WITH_A_DEFECT; i++) {
            found.addAll(violations(randomSteps(random), defect, driftMargin));
        }
        return found;
    }

    private static List<Step> randomSteps(Random random) {
        Action[] actions = Action.values();
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < MAX_STEPS; i++) {
            steps.add(new Step(actions[random.nextInt(actions.length)], random.nextInt(MAX_CHOICE)));
        }
        return steps;
    }
}
