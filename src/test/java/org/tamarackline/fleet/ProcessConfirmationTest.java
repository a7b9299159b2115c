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
        process.onPollAnswered(SECOND_NANOS, 500);
        assertThat(process.aliveSince(SECOND_NANOS)).isTrue();
        assertThat(process.aliveSince(SECOND_NANOS + 1)).isFalse();
    }

    /** Guards against an answer that seems as old as its poll, although the runner waited for the end of a run. */
    @Test
    void answerToALongPollCountsByTheRunnersClock() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500);
        process.onPollAnswered(SECOND_NANOS + 1_000_000, 1_520);
        assertThat(process.aliveSince(2 * SECOND_NANOS)).isTrue();
        assertThat(process.aliveSince(2 * SECOND_NANOS + 1)).isFalse();
    }

    /** Guards against a process that seems alive because the response to an earlier poll arrives last. */
    @Test
    void earlierAnswerThatArrivesLateDoesNotCount() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500);
        process.onPollAnswered(SECOND_NANOS / 2, 400);
        assertThat(process.aliveSince(SECOND_NANOS)).isTrue();
        assertThat(process.aliveSince(SECOND_NANOS + 1)).isFalse();
    }

    /** Guards against a new process that is taken for alive by the clock of the earlier one. */
    @Test
    void answersOfAnEarlierProcessDoNotCount() {
        learnAndConfirm(PROCESS);
        process.onPollAnswered(SECOND_NANOS, 500);
        learnAndConfirm(PROCESS + 1);
        assertThat(process.aliveSince(SECOND_NANOS)).isFalse();
        process.onPollAnswered(SECOND_NANOS, 10);
        assertThat(process.aliveSince(SECOND_NANOS + 1)).isFalse();
    }

    @Test
    void unconfirmedProcessIsNotKnownToBeAlive() {
        process.learn(PROCESS, 0);
        process.onPollAnswered(SECOND_NANOS, 500);
        assertThat(process.aliveSince(0)).isFalse();
    }
}
