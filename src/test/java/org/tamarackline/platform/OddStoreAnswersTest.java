package org.tamarackline.platform;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.fleet.DecisionLog;
import org.tamarackline.fleet.RecordStore;
import org.tamarackline.fleet.SingleThreadLoop;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpListener;
import org.tamarackline.logging.LineSink;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an answer of the store that is taken for one of no rows, or for one of another version. */
class OddStoreAnswersTest {

    private final SingleThreadLoop loop = new SingleThreadLoop("odd-store-answers-test");
    private final BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
    private AsyncHttpClient http;
    private HttpListener listener;
    private StoreClient client;
    private volatile String body;

    @BeforeEach
    void start() throws Exception {
        http = new AsyncHttpClient(2);
        listener = new HttpListener(100_000);
        var address = StandinFleet.reserveAddress();
        listener.add(
                address, 5_000, exchange -> exchange.respond(200, Map.of(), body.getBytes(StandardCharsets.UTF_8)));
        listener.start();
        client = new StoreClient(
                http,
                loop,
                new DecisionLog(new LineSink(OutputStream.nullOutputStream()), InstantSource.system(), loop, "node"),
                StandinFleet.hostAndPort(address));
    }

    @AfterEach
    void stop() {
        http.close();
        listener.stop();
        loop.close();
    }

    private Object answerTo(Consumer<Consumer<Object>> request) throws InterruptedException {
        loop.execute(() -> request.accept(answers::add));
        Object answer = answers.poll(5, TimeUnit.SECONDS);
        assertThat(answer).as("answer").isNotNull();
        return answer;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "{}",
                "{\"rows\":[]}",
                "{\"ver\":\"7\",\"rows\":[]}",
                "{\"ver\":18446744073709551623,\"rows\":[]}",
                "{\"ver\":-7,\"rows\":[]}",
                "{\"ver\":7,\"rows\":{}}",
                "{\"ver\":7,\"rows\":[7]}",
                "{\"ver\":7,\"rows\":[{\"table\":\"jobs\",\"key\":7,\"ver\":1,\"value\":\"\"}]}",
                "{\"ver\":7,\"rows\":[{\"table\":\"jobs\",\"key\":\"a\",\"ver\":1e300,\"value\":\"\"}]}",
                "{\"ver\":7,\"rows\":[{\"table\":\"jobs\",\"key\":\"a\",\"ver\":18446744073709551623,\"value\":\"\"}]}"
            })
    void oddReadIsAFailure(String odd) throws InterruptedException {
        body = odd;
        assertThat(answerTo(done -> client.read(RecordStore.Table.JOBS, "", null, done::accept)))
                .isInstanceOf(RecordStore.ReadResult.Failed.class);
        assertThat(answerTo(done -> client.follow(RecordStore.Table.JOBS, 1, Duration.ZERO, done::accept)))
                .isInstanceOf(RecordStore.ReadResult.Failed.class);
        assertThat(answerTo(done -> client.list(list -> done.accept(list.isPresent()))))
                .isEqualTo(false);
    }

    /** Guards against a store without changes that counts as failing. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"ver\":7,\"rows\":[]}", "{\"ver\":7,\"rows\":null}", "{\"ver\":7}"})
    void answerWithoutRowsIsAPageWithoutEntries(String empty) throws InterruptedException {
        body = empty;
        assertThat(answerTo(done -> client.read(RecordStore.Table.JOBS, "", null, done::accept)))
                .isEqualTo(new RecordStore.ReadResult.Page(List.of(), 7, false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"[]", "{}", "{\"ver\":\"7\"}", "{\"ver\":18446744073709551623}", "{\"ver\":-7}"})
    void oddAnswerToATransactionLeavesItsOutcomeUnknown(String odd) throws InterruptedException {
        body = odd;
        RecordStore.Transaction transaction = new RecordStore.Transaction(List.of(), List.of());
        assertThat(answerTo(done -> client.transact(transaction, done::accept)))
                .isInstanceOf(RecordStore.TransactionResult.Unknown.class);
    }

    /** Guards against reading the first page of the directory again and again. */
    @ParameterizedTest
    @ValueSource(strings = {"", "a"})
    void pageThatDoesNotAdvanceIsAFailure(String key) throws InterruptedException {
        body = "{\"ver\":7,\"truncated\":true,\"rows\":[{\"table\":\"servers\",\"key\":\"" + key + "\",\"ver\":1}]}";
        assertThat(answerTo(done -> client.list(list -> done.accept(list.isPresent()))))
                .isEqualTo(false);
    }
}
