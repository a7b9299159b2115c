package org.tamarackline.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against starts to a process that may have ended, and against polls before starts that need none. */
class ProcessConfirmationTest {

    private static final long SECOND_NANOS = 1_000_000_000;
    private static final long PROCESS = 7;

    private final ProcessConfirmation process = new ProcessConfirmation();

    private void learnAndConfirm(long startEpochMs) {
        process.learn(startEpochMs, 0);
        process.confirm(nanos -> true);
    }

    @Test
    void processThatAnsweredNoPollIsNotKnownToBeAlive() {
        learnAndConfirm(PROCESS);
        assertThat(process.aliveSince(0)).isFalse();
    }

    @Test
    void answerCountsFromTheTimeOfItsPoll() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500, SECOND_NANOS);
        assertThat(process.aliveSince(SECOND_NANOS)).isTrue();
        assertThat(process.aliveSince(SECOND_NANOS + 1)).isFalse();
    }

    /** Guards against an answer that seems as old as its poll, although the runner waited for the end of a run. */
    @Test
    void answerToALongPollCountsByTheRunnersClock() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500, SECOND_NANOS);
        process.onPollAnswered(SECOND_NANOS + 1_000_000, 1_520, 3 * SECOND_NANOS);
        assertThat(process.aliveSince(2 * SECOND_NANOS)).isTrue();
        assertThat(process.aliveSince(2 * SECOND_NANOS + 1)).isFalse();
    }

    /** Guards against a process that seems alive for seconds because this node's clock stood still while it was suspended. */
    @Test
    void answerDoesNotCountAsLaterThanItsArrival() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500, SECOND_NANOS);
        process.onPollAnswered(SECOND_NANOS + 1_000_000, 5_500, SECOND_NANOS + 2_000_000);
        assertThat(process.aliveSince(SECOND_NANOS + 2_000_000)).isTrue();
        assertThat(process.aliveSince(SECOND_NANOS + 2_000_001)).isFalse();
    }

    /** Guards against a runner that gets no more starts after one status with a wrong clock. */
    @Test
    void answersCountAfterOneWithAClockThatIsFarAhead() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 1_000_000_000_000L, SECOND_NANOS);
        process.onPollAnswered(2 * SECOND_NANOS, 1_500, 2 * SECOND_NANOS);
        assertThat(process.aliveSince(2 * SECOND_NANOS)).isTrue();
    }

    /** Guards against a process that seems alive because the response to an earlier poll arrives last. */
    @Test
    void earlierAnswerThatArrivesLateDoesNotCount() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500, SECOND_NANOS);
        process.onPollAnswered(SECOND_NANOS / 2, 400, SECOND_NANOS);
        assertThat(process.aliveSince(SECOND_NANOS)).isTrue();
        assertThat(process.aliveSince(SECOND_NANOS + 1)).isFalse();
    }

    /** Guards against a new process that is taken for alive by the clock of the earlier one. */
    @Test
    void answersOfAnEarlierProcessDoNotCount() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500, SECOND_NANOS);
        learnAndConfirm(PROCESS + 1);
        assertThat(process.aliveSince(SECOND_NANOS)).isFalse();
        process.onPollAnswered(SECOND_NANOS, 10, SECOND_NANOS);
        assertThat(process.aliveSince(SECOND_NANOS + 1)).isFalse();
    }

    @Test
    void unconfirmedProcessIsNotKnownToBeAlive() {
        process.learn(PROCESS, 0);
        process.onPollAnswered(SECOND_NANOS, 500, SECOND_NANOS);
        assertThat(process.aliveSince(0)).isFalse();
    }
}
