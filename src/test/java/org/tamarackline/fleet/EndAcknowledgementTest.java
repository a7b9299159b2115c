package org.tamarackline.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an acknowledgement cannot discard ends of a process other than the one that it is meant for. */
class EndAcknowledgementTest {

    private final EndAcknowledgement acknowledgement = new EndAcknowledgement();
    private final StartVerification starts = new StartVerification();

    private long next() {
        return acknowledgement.next(starts.allVerified());
    }

    @Test
    void storedEndsAreAcknowledgedUntilAPollIsAnswered() {
        acknowledgement.onEndsStored(5, 10);
        assertThat(next()).isEqualTo(5);
        acknowledgement.onPollAnswered(5, 10);
        assertThat(next()).isZero();
        assertThat(acknowledgement.due()).isFalse();
    }

    @Test
    void runThatAnotherProcessMayHaveStartedKeepsEndsFromBeingAcknowledged() {
        acknowledgement.onEndsStored(5, 10);
        starts.onStartSent(20);
        assertThat(next()).isZero();
        starts.onStartCompleted(true, 22);
        starts.onPollAnswered(15);
        assertThat(next()).as("after a poll sent before the start").isZero();
        starts.onPollAnswered(25);
        assertThat(next()).as("after a poll sent after the start").isEqualTo(5);
    }

    /**
     * Guards against a poll that the known process answered before it ended, with the response of a start that the next
     * process executed arriving earlier than that of the poll.
     */
    @Test
    void pollSentBeforeTheResponseToAStartDoesNotVerifyIt() {
        acknowledgement.onEndsStored(5, 10);
        starts.onStartSent(20);
        starts.onStartCompleted(true, 40);
        starts.onPollAnswered(30);
        assertThat(next())
                .as("after a poll sent before the response to the start")
                .isZero();
        starts.onPollAnswered(40);
        assertThat(next()).as("after a poll sent on that response").isEqualTo(5);
    }

    @Test
    void unansweredStartKeepsEndsFromBeingAcknowledged() {
        acknowledgement.onEndsStored(5, 10);
        starts.onStartSent(20);
        starts.onPollAnswered(25);
        assertThat(next()).isZero();
        assertThat(acknowledgement.due()).isTrue();
    }

    @Test
    void newProcessGetsNoAcknowledgementOfTheEarlierOne() {
        acknowledgement.onEndsStored(5, 10);
        acknowledgement.onProcessChanged();
        assertThat(next()).isZero();
        acknowledgement.onEndsStored(1, 10);
        assertThat(next()).isEqualTo(1);
    }

    /** Guards against a runner whose starts are held back although its ends were acknowledged in time. */
    @Test
    void endsAreOverdueOnlyIfTheRunnerHasDiscardedNoneForLong() {
        long limitNanos = FleetConstants.ACKNOWLEDGEMENT_OVERDUE.toNanos();
        acknowledgement.onEndsStored(5, 10);
        acknowledgement.onEndsStored(6, limitNanos);
        assertThat(acknowledgement.overdue(10 + limitNanos)).isFalse();
        assertThat(acknowledgement.overdue(11 + limitNanos)).isTrue();
        acknowledgement.onPollAnswered(5, 20 + limitNanos);
        assertThat(acknowledgement.overdue(20 + 2 * limitNanos)).isFalse();
        assertThat(acknowledgement.overdue(21 + 2 * limitNanos)).isTrue();
        acknowledgement.onPollAnswered(6, 30 + 2 * limitNanos);
        assertThat(acknowledgement.overdue(31 + 3 * limitNanos)).isFalse();
    }
}
