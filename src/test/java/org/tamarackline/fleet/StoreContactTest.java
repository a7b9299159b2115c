package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests when the store counts as answering this node without interruption. */
class StoreContactTest {

    private static final Duration TIME = Duration.ofSeconds(2);

    private final ManualLoop loop = new ManualLoop();
    private final StoreContact contact = new StoreContact(loop);

    private void answerFor(Duration time) {
        for (Duration passed = Duration.ZERO; passed.compareTo(time) < 0; passed = passed.plusMillis(500)) {
            contact.onAnswer();
            loop.advance(Duration.ofMillis(500));
        }
        contact.onAnswer();
    }

    @Test
    void answersWithoutFailureAreUninterrupted() {
        answerFor(TIME);
        assertThat(contact.uninterruptedFor(TIME)).isTrue();
        assertThat(contact.uninterruptedFor(TIME.plusSeconds(1))).isFalse();
    }

    /** Guards against a node that counts the time before an outage of the store. */
    @Test
    void failureInterruptsTheContact() {
        answerFor(TIME);
        contact.onFailure();
        assertThat(contact.uninterruptedFor(Duration.ZERO)).isFalse();
        contact.onAnswer();
        assertThat(contact.uninterruptedFor(TIME)).isFalse();
    }

    /** Guards against an outage of the store that this node notices only by its next timeout. */
    @Test
    void oldAnswerIsNoContact() {
        answerFor(TIME);
        loop.advance(Duration.ofMillis(1_500));
        assertThat(contact.uninterruptedFor(TIME)).isFalse();
    }

    /** Guards against a slow store that counts as one which does not answer. */
    @Test
    void transactionThatIsLateBesideAnsweredReadsIsNoFailure() {
        FakeRecordStore store = new FakeRecordStore(loop);
        MonitoredStore monitored = new MonitoredStore(store, contact);
        store.loseResponses(2);
        monitored.transact(new RecordStore.Transaction(List.of(), List.of()), result -> {});
        loop.advance(Duration.ofMillis(500));
        monitored.read(RecordStore.Table.JOBS, "", null, result -> {});
        loop.advance(Duration.ofSeconds(1));
        assertThat(contact.answering()).isTrue();
        monitored.transact(new RecordStore.Transaction(List.of(), List.of()), result -> {});
        loop.advance(Duration.ofMillis(1_500));
        assertThat(contact.answering()).isFalse();
    }
}
