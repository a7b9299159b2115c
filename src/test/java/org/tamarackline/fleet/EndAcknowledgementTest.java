package org.tamarackline.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an acknowledgement cannot discard ends of a process other than the one that it is meant for. */
class EndAcknowledgementTest {

    private final EndAcknowledgement acknowledgement = new EndAcknowledgement();

    @Test
    void storedEndsAreAcknowledgedUntilAPollIsAnswered() {
        acknowledgement.onEndsStored(5);
        assertThat(acknowledgement.next()).isEqualTo(5);
        acknowledgement.onPollAnswered(10, 5);
        assertThat(acknowledgement.next()).isZero();
        assertThat(acknowledgement.due()).isFalse();
    }

    @Test
    void runThatAnotherProcessMayHaveStartedKeepsEndsFromBeingAcknowledged() {
        acknowledgement.onEndsStored(5);
        acknowledgement.onStartSent(20);
        assertThat(acknowledgement.next()).isZero();
        acknowledgement.onStartCompleted();
        acknowledgement.onPollAnswered(15, 0);
        assertThat(acknowledgement.next())
                .as("after a poll sent before the start")
                .isZero();
        acknowledgement.onPollAnswered(25, 0);
        assertThat(acknowledgement.next())
                .as("after a poll sent after the start")
                .isEqualTo(5);
    }

    @Test
    void unansweredStartKeepsEndsFromBeingAcknowledged() {
        acknowledgement.onEndsStored(5);
        acknowledgement.onStartSent(20);
        acknowledgement.onPollAnswered(25, 0);
        assertThat(acknowledgement.next()).isZero();
        assertThat(acknowledgement.due()).isTrue();
    }

    @Test
    void newProcessGetsNoAcknowledgementOfTheEarlierOne() {
        acknowledgement.onEndsStored(5);
        acknowledgement.onProcessChanged();
        assertThat(acknowledgement.next()).isZero();
        acknowledgement.onEndsStored(1);
        assertThat(acknowledgement.next()).isEqualTo(1);
    }
}
