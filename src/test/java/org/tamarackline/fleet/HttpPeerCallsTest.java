package org.tamarackline.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpListener;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against an answer of another node that ends the pings, or leaves a caller without an answer. */
class HttpPeerCallsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final PeerCalls.PingRequest PING = new PeerCalls.PingRequest("n", NodeCapacity.UNKNOWN);

    private final SingleThreadLoop loop = new SingleThreadLoop("peer-calls-test");
    private final BlockingQueue<Object> answers = new LinkedBlockingQueue<>();
    private AsyncHttpClient http;
    private HttpListener listener;
    private String address;
    private volatile String text = "";
    private HttpPeerCalls calls;

    @BeforeEach
    void start() throws Exception {
        http = new AsyncHttpClient(2);
        calls = new HttpPeerCalls(http, loop);
        listener = new HttpListener(1_000);
        var socketAddress = StandinFleet.reserveAddress();
        address = StandinFleet.hostAndPort(socketAddress);
        listener.add(
                socketAddress,
                TIMEOUT.toMillis(),
                exchange -> exchange.respond(200, Map.of(), text.getBytes(StandardCharsets.UTF_8)));
        listener.start();
    }

    @AfterEach
    void stop() {
        http.close();
        listener.stop();
        loop.close();
    }

    private Object answerTo(Consumer<Consumer<Object>> request) throws InterruptedException {
        loop.execute(() -> request.accept(answers::add));
        Object answer = answers.poll(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(answer).as("answer to the caller").isNotNull();
        return answer;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "x",
                "1 2 3",
                "1 2 3 99999999999",
                "1 2 3 4 5",
                "-1 0 0 0",
                "1 0 0 -1",
                "a b c d",
                "1 2 3 4 probe",
                "1 2 3 4 unansweredWritesMs="
            })
    void oddAnswersToAPingCountAsNone(String odd) throws InterruptedException {
        text = odd;
        assertThat(answerTo(done -> calls.ping(address, PING, done::accept)))
                .isEqualTo(new PeerCalls.PingFailure("unreadable response"));
    }

    /** Guards against a node that cannot read the answers of earlier versions, or loses what those of this one add. */
    @ParameterizedTest
    @CsvSource({
        "1 2 3 4, 0, false",
        "1 2 3 4 unansweredWritesMs=300, 300, false",
        "1 2 3 4 unansweredWritesMs=0 probe, 0, true"
    })
    void answersOfEachVersionAreRead(String answer, long unansweredWritesMs, boolean wouldHandOver)
            throws InterruptedException {
        text = answer;
        assertThat(answerTo(done -> calls.ping(address, PING, done::accept)))
                .isEqualTo(new PeerCalls.PingResponse(1, 2, 3, 4, unansweredWritesMs, wouldHandOver));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "99999999999", "-1", "1.5"})
    void oddAnswersToOtherRequestsCountAsNone(String odd) throws InterruptedException {
        text = odd;
        assertThat(answerTo(done -> calls.state(address, "j", done::accept)))
                .isEqualTo(PeerCalls.StateResponse.UNREACHABLE);
        assertThat(answerTo(done -> calls.queuedJobCount(address, "q", done::accept)))
                .isEqualTo(Optional.empty());
    }

    /** Guards against a caller who is told that a job is not stored, because the leader's answer was odd. */
    @ParameterizedTest
    @ValueSource(strings = {"", "x", "ACCEPTED", "unavailable x"})
    void oddAnswersToASubmissionLeaveItUndetermined(String odd) throws InterruptedException {
        text = odd;
        assertThat(answerTo(done -> calls.submit(address, "j", new byte[] {1}, done::accept)))
                .isInstanceOf(JobRequestHandler.Outcome.Undetermined.class);
    }
}
