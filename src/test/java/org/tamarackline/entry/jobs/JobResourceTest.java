package org.tamarackline.entry.jobs;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import jakarta.ws.rs.core.Response;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.core.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class JobResourceTest {

    private static final String TOKEN = "Bearer token";
    private static final String VALID = """
            {"team": "dyeing", "profile": "overnight plan", "tasks": 2, "command": {"workMs": 10},
             "resources": {"processorMillis": 100, "memoryMb": 10, "accelerators": 0}}""";

    private final JobsFixture fixture = new JobsFixture();
    private JobResource resource;

    @BeforeEach
    void setUp() throws Exception {
        fixture.addWorker("w1", "1", new Resources(16_000, 60_000, 0));
        fixture.run(Duration.ofSeconds(2));
        resource = new JobResource(fixture.node.service, fixture.node.context.settings());
    }

    private Response submit(String token, String body) throws Exception {
        return fixture.call(
                () -> resource.submit(token, null, new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8))));
    }

    private static void assertError(Response response, JobErrorCode code) {
        JobResource.ErrorBody body = (JobResource.ErrorBody) response.getEntity();
        assertThat(body.code()).isEqualTo(code);
        assertThat(body.executed()).isEqualTo("no");
        assertThat(body.detail()).isNotBlank();
        assertThat(response.getStatus()).isEqualTo(code.status());
    }

    /** Guards against a valid submission that is refused, and a job that its caller cannot read or cancel. */
    @Test
    void submitsReadsAndCancels() throws Exception {
        Response created = submit(TOKEN, VALID);
        assertThat(created.getStatus()).isEqualTo(Response.Status.CREATED.getStatusCode());
        String id = ((JobView) created.getEntity()).id().value();
        assertThat(fixture.call(() -> resource.get(TOKEN, id)).getStatus()).isEqualTo(200);
        assertThat(fixture.call(() -> resource.cancel(TOKEN, id)).getStatus()).isEqualTo(202);
        fixture.run(Duration.ofSeconds(2));
        JobView view = (JobView) fixture.call(() -> resource.get(TOKEN, id)).getEntity();
        assertThat(view.state()).isEqualTo(JobView.State.CANCELLED);
    }

    /** Guards against requests that are served without a valid caller token. */
    @Test
    void rejectsWrongCredentials() throws Exception {
        assertError(submit(null, VALID), JobErrorCode.UNAUTHORIZED);
        assertError(submit("Bearer other", VALID), JobErrorCode.UNAUTHORIZED);
        assertError(submit("token", VALID), JobErrorCode.UNAUTHORIZED);
    }

    /** Guards against malformed or out-of-range submissions that are accepted or fail without an error code. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "{\"team\": \"a\"} x",
                "{\"team\": \"a/b\", \"profile\": \"overnight plan\", \"tasks\": 1, \"command\": {},"
                        + " \"resources\": {\"processorMillis\": 1, \"memoryMb\": 1}}",
                "{\"team\": \"a\", \"profile\": \"overnight plan\", \"tasks\": 0, \"command\": {},"
                        + " \"resources\": {\"processorMillis\": 1, \"memoryMb\": 1}}",
                "{\"team\": \"a\", \"profile\": \"overnight plan\", \"tasks\": 10001, \"command\": {},"
                        + " \"resources\": {\"processorMillis\": 1, \"memoryMb\": 1}}",
                "{\"team\": \"a\", \"profile\": \"overnight plan\", \"tasks\": 1.5, \"command\": {},"
                        + " \"resources\": {\"processorMillis\": 1, \"memoryMb\": 1}}",
                "{\"team\": \"a\", \"profile\": \"overnight plan\", \"tasks\": 1, \"command\": \"x\","
                        + " \"resources\": {\"processorMillis\": 1, \"memoryMb\": 1}}",
                "{\"team\": \"a\", \"profile\": \"overnight plan\", \"tasks\": 1, \"command\": {},"
                        + " \"resources\": {\"processorMillis\": -1, \"memoryMb\": 1}}",
                "{\"team\": \"a\", \"profile\": \"overnight plan\", \"tasks\": 1, \"command\": {},"
                        + " \"resources\": {\"processorMillis\": 1, \"memoryMb\": 1, \"disks\": 1}}",
                "{\"team\": \"a\", \"profile\": \"overnight plan\", \"tasks\": 1, \"command\": {}}"
            })
    void rejectsInvalidSubmissions(String body) throws Exception {
        assertError(submit(TOKEN, body), JobErrorCode.INVALID_REQUEST);
    }

    /**
     * Guards against oversized bodies that exhaust the memory of the node, and identifiers that reach the table unchecked.
     */
    @Test
    void boundsWhatCallersSend() throws Exception {
        assertError(submit(TOKEN, " ".repeat(SubmissionParser.MAX_BODY_BYTES + 1)), JobErrorCode.BODY_TOO_LARGE);
        assertError(fixture.call(() -> resource.get(TOKEN, "../config/current")), JobErrorCode.NOT_FOUND);
        assertError(fixture.call(() -> resource.get(TOKEN, "unknown")), JobErrorCode.NOT_FOUND);
        assertError(fixture.call(() -> resource.result(TOKEN, "unknown", "x")), JobErrorCode.NOT_FOUND);
    }
}
