package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.entry.jobs.RackSimulation.RackAction;
import org.tamarackline.entry.jobs.RackSimulation.RackStep;

import static org.assertj.core.api.Assertions.assertThat;

class RackSequencesTest {

    private static final Duration DRIFT_MARGIN = Duration.ofMillis(500);
    private static final int MAX_STEPS = 60;
    private static final int MAX_CHOICE = 1_000;
    private static final long SEED = 20_261_204;
    private static final int MAX_SEQUENCES_WITH_A_DEFECT = 2_000;
    private static final int SEQUENCES_FOR_COVERAGE = 200;
    private static final List<RackAction> WEIGHTED_ACTIONS = weightedActions();

    /** Submissions and the passage of time weigh more than faults, or most sequences would end before any task runs. */
    private static List<RackAction> weightedActions() {
        List<RackAction> actions = new ArrayList<>(List.of(RackAction.values()));
        for (int i = 0; i < 4; i++) {
            actions.add(RackAction.SUBMIT_BATCH);
            actions.add(RackAction.SUBMIT_LATENCY_CRITICAL);
            actions.add(RackAction.RUN_SHORT);
            actions.add(RackAction.RUN_LONG);
        }
        return List.copyOf(actions);
    }

    @Provide
    Arbitrary<List<RackStep>> sequences() {
        Arbitrary<RackStep> step = Combinators.combine(
                        Arbitraries.of(WEIGHTED_ACTIONS), Arbitraries.integers().between(0, MAX_CHOICE))
                .as(RackStep::new);
        return step.list().ofMinSize(10).ofMaxSize(MAX_STEPS);
    }

    /**
     * Guards against a task that runs on two workers at once, a worker over its capacity, an evicted task that is started
     * twice or resumes without its checkpoint, a finished task that runs again, and a task that never ends.
     */
    @Property(seed = "20261204", tries = 500)
    void keepsInvariantsUnderFaults(@ForAll("sequences") List<RackStep> steps) {
        assertThat(violations(steps, FakeWorker.Defect.NONE, DRIFT_MARGIN)).isEmpty();
    }

    private static List<String> violations(List<RackStep> steps, FakeWorker.Defect defect, Duration driftMargin) {
        RackSimulation simulation = new RackSimulation(defect, driftMargin);
        steps.forEach(simulation::apply);
        simulation.recoverAndCheck();
        return simulation.violations;
    }

    /** Shows that the checks detect a restart elsewhere that does not wait for the worker lease to expire. */
    @Example
    void detectsARestartWithoutWaiting() {
        Duration negativeDriftMargin = Duration.ofSeconds(-19);
        assertThat(findsViolation("runs on", FakeWorker.Defect.NONE, negativeDriftMargin))
                .isTrue();
    }

    /** Shows that the checks detect a worker whose lease never expires. */
    @Example
    void detectsALeaseThatNeverExpires() {
        assertThat(findsViolation("runs on", FakeWorker.Defect.LEASE_NEVER_EXPIRES, DRIFT_MARGIN))
                .isTrue();
    }

    /** Shows that the checks detect a worker that accepts an attempt twice. */
    @Example
    void detectsAnAttemptThatIsAcceptedTwice() {
        assertThat(findsViolation("started twice", FakeWorker.Defect.ACCEPTS_FORBIDDEN_ATTEMPTS, DRIFT_MARGIN))
                .isTrue();
    }

    /** Shows that the checks detect a worker that accepts commands of a former owner. */
    @Example
    void detectsMissingFencing() {
        assertThat(findsViolation("", FakeWorker.Defect.NO_FENCING, DRIFT_MARGIN))
                .isTrue();
    }

    private static boolean findsViolation(String part, FakeWorker.Defect defect, Duration driftMargin) {
        Random random = new Random(SEED);
        return IntStream.range(0, MAX_SEQUENCES_WITH_A_DEFECT)
                .mapToObj(i -> violations(randomSteps(random), defect, driftMargin))
                .anyMatch(found -> found.stream().anyMatch(violation -> violation.contains(part)));
    }

    /** Guards against a property that holds only because the sequences hardly reach the cases that it is about. */
    @Example
    void sequencesReachEvictionsRestartsAndCancellations() {
        Random random = new Random(SEED);
        int resumedRuns = 0;
        int repeatedRuns = 0;
        int cancelledTasks = 0;
        for (int i = 0; i < SEQUENCES_FOR_COVERAGE; i++) {
            RackSimulation simulation = new RackSimulation(FakeWorker.Defect.NONE, DRIFT_MARGIN);
            randomSteps(random).forEach(simulation::apply);
            simulation.recoverAndCheck();
            resumedRuns += simulation.countRuns(run -> run.resumedFromMs() > 0);
            repeatedRuns += simulation.countRuns(run -> run.attempt() > 1);
            cancelledTasks += simulation.countTasksIn(TaskState.CANCELLED);
        }
        assertThat(resumedRuns).isGreaterThan(SEQUENCES_FOR_COVERAGE);
        assertThat(repeatedRuns).isGreaterThan(SEQUENCES_FOR_COVERAGE);
        assertThat(cancelledTasks).isGreaterThan(SEQUENCES_FOR_COVERAGE / 2);
    }

    private static List<RackStep> randomSteps(Random random) {
        List<RackStep> steps = new ArrayList<>();
        for (int i = 0; i < MAX_STEPS; i++) {
            steps.add(new RackStep(
                    WEIGHTED_ACTIONS.get(random.nextInt(WEIGHTED_ACTIONS.size())), random.nextInt(MAX_CHOICE)));
        }
        return steps;
    }
}
