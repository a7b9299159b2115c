package org.tamarackline.worker;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.http.HttpListener;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against an answer of a worker that is taken in part: a task that is not listed counts as ended. */
class OddWorkerAnswersTest {

    private static final ShardId RACK = new ShardId("rack:a:1");

    private static final String VALID = "{\"nonce\":\"n\",\"leaseCurrent\":true,"
            + "\"capacity\":{\"processorMillis\":4000,\"memoryMb\":8000,\"accelerators\":0},"
            + "\"tasks\":[{\"taskId\":\"job.0\",\"attempt\":1,\"state\":\"RUNNING\",\"workDoneMs\":5}],\"usage\":[]}";

    private final HttpWorkerGateway gateway = new HttpWorkerGateway(Duration.ofSeconds(3));
    private HttpListener listener;
    private String address;
    private volatile String body;

    @BeforeEach
    void start() throws Exception {
        listener = new HttpListener(10_000);
        var socketAddress = StandinFleet.reserveAddress();
        address = StandinFleet.hostAndPort(socketAddress);
        listener.add(
                socketAddress,
                5_000,
                exchange -> exchange.respond(200, Map.of(), body.getBytes(StandardCharsets.UTF_8)));
        listener.start();
    }

    @AfterEach
    void stop() {
        gateway.close();
        listener.stop();
    }

    static List<String> oddAnswers() {
        return List.of(
                "",
                "null",
                "[]",
                "{}",
                VALID.replace("\"nonce\":\"n\",", ""),
                VALID.replace("4000", "1e400"),
                VALID.replace("4000", "9223372036854775807"),
                VALID.replace("4000", "-1"),
                VALID.replace("\"capacity\"", "\"other\""),
                VALID.replace("\"tasks\"", "\"other\""),
                VALID.replace("\"usage\":[]", "\"usage\":[null]"),
                VALID.replace("\"tasks\":[", "\"tasks\":[null,"),
                VALID.replace("\"job.0\"", "null"),
                VALID.replace("\"job.0\"", "\"x\""),
                VALID.replace("\"RUNNING\"", "\"OTHER\""),
                VALID.replace("\"RUNNING\"", "null"),
                VALID.replace("\"n\"", "[".repeat(900) + "]".repeat(900)));
    }

    private RenewRequest request() {
        return new RenewRequest(RACK, new Epoch(1), Optional.empty(), 1_000);
    }

    @Test
    void readsAValidAnswer() throws WorkerException {
        body = VALID;
        assertThat(gateway.renew(address, request()).tasks()).hasSize(1);
    }

    @ParameterizedTest
    @MethodSource("oddAnswers")
    void oddAnswerCountsAsNone(String answer) {
        body = answer;
        assertThatThrownBy(() -> gateway.renew(address, request())).isInstanceOf(WorkerOutcomeUnknownException.class);
    }

    /** Guards against a result of a stop that ends the loop of the rack. */
    @Test
    void reportWithoutAStateCountsAsNone() {
        body = "{\"taskId\":\"job.0\",\"attempt\":1}";
        TaskCommand command = new TaskCommand(RACK, new Epoch(1), TaskId.parse("job.0"), 1, 100);
        assertThatThrownBy(() -> gateway.stop(address, command)).isInstanceOf(WorkerOutcomeUnknownException.class);
    }

    /** Guards against an exception that is none of those which the callers handle. */
    @Test
    void invalidAddressIsUnreachable() {
        assertThatThrownBy(() -> gateway.renew("....:99999 x", request()))
                .isInstanceOf(WorkerUnreachableException.class);
    }
}
