package org.tamarackline.process.soak;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against checks of the fault soak that overlook a task which stands or runs twice. */
class SoakChecksTest {

    private static final long SECOND = 1_000_000_000L;
    private static final SoakJob JOB = new SoakJob("j", 1, true, 0, Long.MAX_VALUE);
    private static final String TASK = "j.0.0.0";

    private final RunHistory history = new RunHistory();

    private void run(String runner, long number, long startS, long endS) {
        history.runStarted(runner, TASK, number, startS * SECOND);
        history.runEnded(runner, TASK, number, "process ended", endS * SECOND);
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
}
