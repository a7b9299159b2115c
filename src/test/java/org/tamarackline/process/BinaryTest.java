package org.tamarackline.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.load.PortReservations;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a packaged binary with wrong exit codes, or that does not shut down in order on SIGTERM. */
class BinaryTest {

    private static final Path BINARY = Path.of("target", "tamarackline");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final long EXIT_TIMEOUT_SECONDS = 60;
    private static final int DRAIN_DELAY_MS = 1_000;
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    @TempDir
    private Path directory;

    private final PortReservations reservations = new PortReservations();

    @AfterEach
    void releasePorts() {
        reservations.close();
    }

    @Test
    void versionAndSettingsCheck() throws Exception {
        assertThat(run("--version")).isEqualTo(new CommandResult(0, "tamarackline 0.1.0\n"));
        assertThat(run("check-config", "examples/entry.toml").exitCode()).isZero();
        assertThat(run("check-config", "README.md").exitCode()).isEqualTo(2);
        assertThat(run("no-such-command").exitCode()).isEqualTo(2);
    }

    @Test
    void sigtermLowersReadinessThenExitsWithZero() throws Exception {
        List<Integer> ports = List.of(reservations.reserve(), reservations.reserve(), reservations.reserve());
        Path log = directory.resolve("log");
        Process node = new ProcessBuilder(
                        BINARY.toString(), "entry", "--config", settings(ports).toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        try {
            awaitResponse(ports.get(1), "/live", "live");
            long termSentNanos = System.nanoTime();
            node.destroy();
            awaitResponse(ports.get(1), "/ready", "DRAINING");
            assertThat(node.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(node.exitValue()).as(Files.readString(log)).isZero();
            assertThat(Duration.ofNanos(System.nanoTime() - termSentNanos).toMillis())
                    .isGreaterThanOrEqualTo(DRAIN_DELAY_MS);
        } finally {
            node.destroyForcibly();
        }
        List<String> lines = Files.readAllLines(log);
        assertThat(lines).allMatch(line -> line.startsWith("{") && line.endsWith("}"));
        assertThat(lines.getLast()).contains("node stopped");
    }

    private Path settings(List<Integer> ports) throws IOException {
        String text = """
                node = "127.0.0.1:%d"
                region = "taiwan"
                data_centre = "taipei"
                caller_address = "127.0.0.1:%d"
                operator_address = "127.0.0.1:%d"
                platform_url = "http://127.0.0.1:1"
                peer_key = "0123456789abcdef"
                operator_token = "fedcba9876543210"
                [cluster]
                single_node = true
                drain_delay_ms = %d
                """.formatted(ports.get(0), ports.get(1), ports.get(2), DRAIN_DELAY_MS);
        return Files.writeString(directory.resolve("entry.toml"), text);
    }

    private static void awaitResponse(int port, String path, String expectedPart) throws InterruptedException {
        long endNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        String last = "";
        while (System.nanoTime() < endNanos) {
            last = responseBody(port, path);
            if (last.contains(expectedPart)) {
                return;
            }
            Thread.onSpinWait();
        }
        throw new AssertionError("no response from %s contained \"%s\", the last response was \"%s\""
                .formatted(path, expectedPart, last));
    }

    private static String responseBody(int port, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:%d%s".formatted(port, path)))
                .timeout(Duration.ofSeconds(5))
                .build();
        try {
            return HTTP.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            return "";
        }
    }

    private static CommandResult run(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(BINARY.toString()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        return new CommandResult(process.exitValue(), output);
    }

    private record CommandResult(int exitCode, String output) {}
}
