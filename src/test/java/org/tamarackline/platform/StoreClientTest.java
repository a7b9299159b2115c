package org.tamarackline.platform;

import java.io.OutputStream;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.fleet.DecisionLog;
import org.tamarackline.fleet.RecordStore;
import org.tamarackline.fleet.SingleThreadLoop;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.logging.LineSink;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

class StoreClientTest {

    private static final int TIMEOUT_SECONDS = 10;

    private StandinFleet fleet;
    private AsyncHttpClient http;
    private SingleThreadLoop loop;
    private StoreClient client;

    @BeforeEach
    void start() throws Exception {
        fleet = new StandinFleet(1, 100);
        http = new AsyncHttpClient(2);
        loop = new SingleThreadLoop("store-client-test");
        client = new StoreClient(
                http,
                loop,
                new DecisionLog(new LineSink(OutputStream.nullOutputStream()), InstantSource.system(), loop, "node"),
                fleet.storeAddress());
    }

    @AfterEach
    void stop() {
        loop.close();
        http.close();
        fleet.close();
    }

    /** Guards against waits that are never shortened because the store's clock is not read from its responses. */
    @Test
    void readsTheStoreClockFromResponses() throws InterruptedException {
        assertThat(client.clock().latestMs(loop.nowNanos())).isEmpty();
        await(done -> client.read(RecordStore.Table.ROSTER, "", null, result -> done.run()));
        assertThat(client.clock().latestMs(loop.nowNanos())).isPresent();
    }

    /** Guards against a repeated transaction that is sent otherwise than the first attempt. */
    @Test
    void transactionsOnNewConnectionsAreAppliedOnce() throws InterruptedException {
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.LEASES, "k", 0)),
                List.of(new RecordStore.Write(RecordStore.Table.LEASES, "k", new byte[] {1})));
        List<RecordStore.TransactionResult> results = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 2; i++) {
            await(done -> client.transactOnNewConnection(transaction, result -> {
                results.add(result);
                done.run();
            }));
        }
        assertThat(results.getFirst()).isInstanceOf(RecordStore.TransactionResult.Applied.class);
        assertThat(results.getLast()).isInstanceOf(RecordStore.TransactionResult.Conflict.class);
    }

    private void await(Consumer<Runnable> call) throws InterruptedException {
        CountDownLatch completed = new CountDownLatch(1);
        loop.execute(() -> call.accept(completed::countDown));
        assertThat(completed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }
}
