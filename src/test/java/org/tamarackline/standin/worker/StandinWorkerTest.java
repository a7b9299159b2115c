package org.tamarackline.standin.worker;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.standin.StandinJson;
import org.tamarackline.standin.platform.PlatformFaults;
import org.tamarackline.standin.platform.StandinPlatform;
import org.tamarackline.store.HttpPlatformClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/** Guards against messages that do not match the worker protocol, and against work lost when a task is evicted. */
class StandinWorkerTest {

    private static final ShardId RACK = new ShardId("rack-1");
    private static final Epoch EPOCH = new Epoch(1);
    private static final TaskId TASK = TaskId.parse("job.0");
    private static final Resources TASK_RESOURCES = new Resources(1_000, 100, 0);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long WORK_MS = 600_000;

    private final HttpClient client = HttpClient.newHttpClient();
    private StandinPlatform platform;
    private StandinWorker worker;

    @BeforeEach
    void start() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        platform = StandinPlatform.start(anyPort, List.of());
        worker = StandinWorker.start(
                new WorkerOptions(anyPort, platform.url(), new Resources(4_000, 1_000, 0), Duration.ZERO));
        String nonce = renew(Optional.empty()).nonce();
        assertThat(renew(Optional.of(nonce)).leaseCurrent()).isTrue();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        worker.close();
        platform.close();
    }

    @Test
    void resumesFromACheckpoint() throws Exception {
        assertThat(post("/tasks", startRequest(0, Optional.empty())).statusCode())
                .isEqualTo(200);
        awaitProgress();
        HttpResponse<byte[]> checkpointed = post("/checkpoint", command(0));
        assertThat(checkpointed.statusCode()).isEqualTo(200);
        TaskReport report = StandinJson.mapper().readValue(checkpointed.body(), TaskReport.class);
        assertThat(post("/stop", command(0)).statusCode()).isEqualTo(200);
        assertThat(post("/tasks", startRequest(1, report.checkpointKey())).statusCode())
                .isEqualTo(200);
        List<RunInterval> runs = worker.history();
        assertThat(runs).extracting(RunInterval::attempt).containsExactly(0, 1);
        long storedWorkMs = storedWorkMs(report.checkpointKey().orElseThrow());
        assertThat(storedWorkMs).isPositive();
        assertThat(runs.get(1).startWorkMs()).isEqualTo(storedWorkMs);
    }

    @Test
    void keepsATaskRunningWhoseCheckpointCannotBeStored() throws Exception {
        assertThat(post("/tasks", startRequest(0, Optional.empty())).statusCode())
                .isEqualTo(200);
        platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        assertThat(post("/checkpoint", command(0)).statusCode()).isEqualTo(503);
        assertThat(worker.history()).extracting(RunInterval::outcome).containsExactly(RunInterval.RunOutcome.RUNNING);
    }

    @Test
    void startsNothingTwiceWhenAResponseIsLost() throws Exception {
        worker.setFaults(new WorkerFaults(false, false, 0, false, 1));
        assertThatExceptionOfType(IOException.class)
                .isThrownBy(() -> post("/tasks", startRequest(0, Optional.empty())));
        assertThat(post("/tasks", startRequest(0, Optional.empty())).statusCode())
                .isEqualTo(200);
        assertThat(worker.history()).hasSize(1);
    }

    private void awaitProgress() {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (worker.history().getFirst().endWorkMs() == 0 && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
    }

    private long storedWorkMs(String key) throws Exception {
        try (HttpPlatformClient reader = new HttpPlatformClient(platform.url(), TIMEOUT)) {
            byte[] content = reader.objects().get(key).orElseThrow();
            return StandinJson.mapper()
                    .readValue(content, Upload.StoredWork.class)
                    .workDoneMs();
        }
    }

    private RenewResponse renew(Optional<String> nonce) throws Exception {
        HttpResponse<byte[]> response = post("/renew", new RenewRequest(RACK, EPOCH, nonce, WORK_MS));
        return StandinJson.mapper().readValue(response.body(), RenewResponse.class);
    }

    private static StartRequest startRequest(int attempt, Optional<String> checkpointKey) {
        return new StartRequest(
                RACK,
                EPOCH,
                TASK,
                attempt,
                JsonNodeFactory.instance.objectNode().put("workMs", WORK_MS),
                TASK_RESOURCES,
                checkpointKey,
                true);
    }

    private static TaskCommand command(int attempt) {
        return new TaskCommand(RACK, EPOCH, TASK, attempt, 0);
    }

    private HttpResponse<byte[]> post(String path, Object message) throws Exception {
        byte[] body = StandinJson.mapper().writeValueAsBytes(message);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + worker.address() + path))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }
}
