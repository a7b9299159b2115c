package org.tamarackline.platform;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.fleet.PrometheusText;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpCallResult;
import org.tamarackline.logging.LineSink;
import org.tamarackline.standin.fleet.NodeSettingsText;
import org.tamarackline.standin.fleet.StandinCaller;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the metrics that a node with sockets serves over HTTP. */
class PlatformNodeMetricsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String JOB_ID = "00000000000000a1";
    private static final String JOB =
            "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":500,\"memMb\":10,\"estMs\":100}]}";

    @TempDir
    private Path directory;

    private StandinFleet fleet;
    private AsyncHttpClient http;
    private StandinCaller caller;
    private PlatformNode node;
    private InetSocketAddress callerAddress;
    private InetSocketAddress peerAddress;

    @BeforeEach
    void start() throws Exception {
        fleet = new StandinFleet(2, 100);
        http = new AsyncHttpClient(8);
        caller = new StandinCaller(http);
        callerAddress = StandinFleet.reserveAddress();
        peerAddress = StandinFleet.reserveAddress();
        NodeSettingsText settings = new NodeSettingsText(
                "node", callerAddress, StandinFleet.reserveAddress(), peerAddress, fleet.storeAddress());
        Path file = Files.writeString(directory.resolve("node.toml"), settings.text());
        node = PlatformNode.start(file, new LineSink(OutputStream.nullOutputStream()), InstantSource.system());
    }

    @AfterEach
    void stop() {
        node.kill();
        http.close();
        fleet.close();
    }

    /** Guards against a node whose events do not reach the metrics that it serves. */
    @Test
    void servesTheEventsOfAJob() throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (caller.send(callerAddress, "POST", JOB_ID, JOB) != 200) {
            assertThat(System.nanoTime() - deadlineNanos).isNegative();
            Thread.sleep(20);
        }
        assertThat(caller.awaitJobState(callerAddress, JOB_ID, "completed", TIMEOUT))
                .isTrue();
        PrometheusText text = scrape();
        assertThat(text.value("tamarackline_leader")).isOne();
        assertThat(text.value("tamarackline_leader_epoch")).isOne();
        assertThat(text.value("tamarackline_submissions_total{answer=\"ACCEPTED\"}"))
                .isOne();
        assertThat(text.value("tamarackline_starts_total{result=\"started\"}")).isEqualTo(3);
        assertThat(text.value("tamarackline_task_start_delay_seconds_count")).isEqualTo(3);
        assertThat(text.value("tamarackline_runs_ended_total{reason=\"done\"}")).isEqualTo(3);
        assertThat(text.value("tamarackline_store_reads_total{outcome=\"read\",purpose=\"configuration\"}"))
                .isPositive();
        assertThat(text.value("tamarackline_runner_calls_total{kind=\"poll\",outcome=\"done\"}"))
                .isPositive();
        assertThat(text.value("tamarackline_request_duration_seconds_count")).isPositive();
        awaitLoopDelay();
    }

    /** The loop delay is measured at intervals, of which the first may not have ended when the job has. */
    private void awaitLoopDelay() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (scrape().value("tamarackline_event_loop_delay_seconds_count") <= 0) {
            assertThat(System.nanoTime() - deadlineNanos).isNegative();
            Thread.sleep(20);
        }
    }

    /** Guards against malformed submissions that are refused without a reason in the metrics. */
    @Test
    void countsMalformedSubmissionsByReason() throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (caller.send(callerAddress, "POST", JOB_ID, "{\"spec\":") != 400) {
            assertThat(System.nanoTime() - deadlineNanos).isNegative();
            Thread.sleep(20);
        }
        assertThat(caller.send(callerAddress, "POST", "no-id", JOB)).isEqualTo(404);
        assertThat(caller.send(callerAddress, "GET", "no-id", null)).isEqualTo(404);
        assertThat(call("POST", callerAddress, "/unknown/" + JOB_ID).status()).isEqualTo(404);
        PrometheusText text = scrape();
        assertThat(text.value("tamarackline_submissions_refused_total{reason=\"invalid_job\"}"))
                .isOne();
        assertThat(text.value("tamarackline_submissions_refused_total{reason=\"invalid_id\"}"))
                .isOne();
        assertThat(text.value("tamarackline_submissions_refused_total{reason=\"no_queue\"}"))
                .isOne();
    }

    private PrometheusText scrape() {
        return new PrometheusText(
                AsyncHttpClient.text(call("GET", peerAddress, "/metrics").body()));
    }

    private HttpCallResult.Response call(String method, InetSocketAddress address, String path) {
        CompletableFuture<HttpCallResult> reply = new CompletableFuture<>();
        http.call(
                method,
                StandinFleet.hostAndPort(address),
                path,
                Map.of(),
                method.equals("POST") ? new byte[0] : null,
                Duration.ofSeconds(3),
                reply::complete);
        return (HttpCallResult.Response) reply.join();
    }
}
