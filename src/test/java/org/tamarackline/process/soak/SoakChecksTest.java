package org.tamarackline.process.soak;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against checks of the fault soak that overlook a task which stands, runs twice or outlives its cancellation. */
class SoakChecksTest {

    private static final long SECOND = 1_000_000_000L;
    private static final SoakJob JOB = SoakJob.accepted("j", 1, true, 0);
    private static final SoakJob CANCELLED = JOB.cancelledAt(20 * SECOND).cancelAnsweredAt(20 * SECOND);
    private static final long RUN_BOUND_NANOS = 23_200_000_000L;
    private static final String TASK = "j.0.0.0";

    private final RunHistory history = new RunHistory();

    private void run(String runner, long number, long startS, long endS) {
        run(runner, number, startS * SECOND, endS * SECOND, "process ended");
    }

    private void run(String runner, long number, long startNanos, long endNanos, String reason) {
        history.runStarted(runner, TASK, number, startNanos);
        history.runEnded(runner, TASK, number, reason, endNanos);
    }

    private static CancellationChecks.Violation onlyViolation(CancellationChecks checks) {
        List<CancellationChecks.Violation> violations = checks.violations(CANCELLED);
        assertThat(violations).hasSize(1);
        return violations.getFirst();
    }

    private CancellationChecks cancellations(Fault... faults) {
        return new CancellationChecks(history, List.of(faults), 100 * SECOND);
    }

    private Optional<Long> firstViolation(long observedUntilS, Fault... faults) {
        return SoakChecks.gaps(JOB, history, observedUntilS * SECOND).stream()
                .flatMap(gap -> SoakChecks.firstViolation(gap, List.of(faults)).stream())
                .findFirst();
    }

    private static Fault fault(long beginS, long endS) {
        return new Fault("node-1", "SIGSTOP", beginS * SECOND, endS * SECOND);
    }

    @Test
    void taskThatStandsForMoreThanNineSecondsIsAViolation() {
        run("r1", 1, 1, 20);
        run("r2", 2, 30, 40);
        assertThat(firstViolation(41, fault(20, 20))).contains(29 * SECOND);
    }

    @Test
    void taskThatNeverStartsIsAViolation() {
        assertThat(firstViolation(20)).contains(9 * SECOND);
    }

    @Test
    void taskThatStartsAgainWithinNineSecondsIsNone() {
        run("r1", 1, 1, 20);
        run("r2", 2, 29, 40);
        assertThat(firstViolation(41)).isEmpty();
    }

    @Test
    void standingTaskCountsOnlySevenSecondsAfterTheLastFault() {
        run("r1", 1, 1, 20);
        run("r2", 2, 40, 50);
        assertThat(firstViolation(51, fault(20, 20), fault(25, 30))).contains(37 * SECOND + 1);
        assertThat(firstViolation(51, fault(25, 34))).isEmpty();
    }

    @Test
    void runsAtTheSameTimeOverlap() {
        run("r1", 1, 1, 20);
        run("r2", 2, 19, 30);
        run("r1", 3, 30, 40);
        assertThat(SoakChecks.overlaps(history)).hasSize(1);
    }

    @Test
    void startAfterAnAcknowledgedEndIsARepetition() {
        run("r1", 1, SECOND, 2 * SECOND, "done");
        history.endAcknowledged("r1", TASK, 1);
        run("r2", 2, 3, 4);
        assertThat(SoakChecks.repetitions(history)).hasSize(1);
    }

    @Test
    void startAfterAnEndWithoutAcknowledgementIsNone() {
        run("r1", 1, SECOND, 2 * SECOND, "done");
        run("r2", 2, 3 * SECOND, 4 * SECOND, "done");
        history.endAcknowledged("r2", TASK, 2);
        assertThat(SoakChecks.repetitions(history)).isEmpty();
    }

    @Test
    void runOfACancelledJobThatIsNotEndedInTimeIsAViolation() {
        run("r1", 1, 10 * SECOND, RUN_BOUND_NANOS + 1, "stopped");
        CancellationChecks.Violation violation = onlyViolation(cancellations());
        assertThat(violation.lateStart()).isFalse();
        assertThat(violation.momentNanos()).isEqualTo(RUN_BOUND_NANOS);
    }

    @Test
    void runOfACancelledJobThatNeverEndsIsAViolation() {
        history.runStarted("r1", TASK, 1, 10 * SECOND);
        assertThat(onlyViolation(cancellations()).lateStart()).isFalse();
    }

    @Test
    void runOfACancelledJobThatEndsInTimeIsNone() {
        run("r1", 1, 10 * SECOND, RUN_BOUND_NANOS, "stopped");
        assertThat(cancellations().violations(CANCELLED)).isEmpty();
        assertThat(cancellations().endDelayMs(CANCELLED)).hasValue(3_200);
    }

    @Test
    void startOfACancelledJobIsAViolationAfterThreeSeconds() {
        run("r1", 1, 22, 23);
        assertThat(cancellations().violations(CANCELLED)).isEmpty();
        run("r1", 2, 23 * SECOND + 1, 23 * SECOND + 2, "stopped");
        assertThat(onlyViolation(cancellations()).lateStart()).isTrue();
    }

    @Test
    void runOfACancelledJobCountsOnlyAfterACalmStretch() {
        run("r1", 1, 10, 35);
        assertThat(onlyViolation(cancellations(fault(16, 16))).momentNanos()).isEqualTo(RUN_BOUND_NANOS + 1);
        assertThat(onlyViolation(cancellations(fault(23, 23))).momentNanos()).isEqualTo(30_200_000_001L);
        assertThat(cancellations(fault(23, 28)).violations(CANCELLED)).isEmpty();
    }

    @Test
    void cancellationCountsAsCheckedOnlyWithAnUncompletedTaskAndACalmBound() {
        assertThat(cancellations().checked(CANCELLED)).isTrue();
        assertThat(cancellations().checked(JOB)).isFalse();
        assertThat(cancellations(fault(16, 16)).checked(CANCELLED)).isFalse();
        assertThat(cancellations(fault(23, 23)).checked(CANCELLED)).isFalse();
        run("r1", 1, 10 * SECOND, 11 * SECOND, "done");
        assertThat(cancellations().checked(CANCELLED)).isFalse();
    }
}
