package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a node that takes itself for able to write because the store answers its reads, and the reverse. */
class UnansweredWritesTest {

    private final ManualLoop loop = new ManualLoop();
    private final StoreContact contact = new StoreContact(loop);
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final NodeStore nodeStore = new NodeStore(store, loop);
    private final MonitoredStore monitored = new MonitoredStore(nodeStore, contact);

    @Test
    void transactionsThatTheStoreRefusesCountAlthoughItAnswersReads() {
        store.setRejecting(true);
        for (int i = 0; i < 10; i++) {
            write();
            loop.advance(Duration.ofMillis(300));
            contact.onAnswer();
        }
        assertThat(contact.unansweredWrites().forMs()).isEqualTo(3_000);
        store.setRejecting(false);
        write();
        loop.advance(Duration.ofMillis(100));
        assertThat(contact.unansweredWrites().forMs()).isZero();
    }

    @Test
    void timeCountsFromTheLastAnswerIfLaterTransactionsAreUnanswered() {
        write();
        loop.advance(Duration.ofMillis(5));
        nodeStore.setWrites(NodeStore.Writes.LOST);
        write();
        loop.advance(Duration.ofMillis(995));
        assertThat(contact.unansweredWrites().forMs()).isEqualTo(980);
    }

    @Test
    void nothingIsKnownLongAfterTheLastTransaction() {
        store.setRejecting(true);
        write();
        loop.advance(Duration.ofSeconds(6));
        assertThat(contact.unansweredWrites().forMs()).isZero();
    }

    @Test
    void conflictCountsAsAnswer() {
        monitored.transact(
                new RecordStore.Transaction(
                        List.of(new RecordStore.Condition(RecordStore.Table.LEASES, "k", 7)), List.of()),
                result -> assertThat(result).isInstanceOf(RecordStore.TransactionResult.Conflict.class));
        loop.advance(Duration.ofSeconds(1));
        assertThat(contact.unansweredWrites().forMs()).isZero();
    }

    private void write() {
        monitored.transact(
                new RecordStore.Transaction(
                        List.of(), List.of(new RecordStore.Write(RecordStore.Table.LEASES, "k", new byte[1]))),
                result -> {});
    }
}
