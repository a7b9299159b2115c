package org.tamarackline.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.logging.LineSink;
import org.tamarackline.standin.fleet.NodeSettingsText;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against requests that a node reads while it drains and does not respond to before its process is gone. */
class PlatformNodeDrainTest {

    private static final int CLIENTS = 24;
    private static final int MAX_THINK_TIME_MS = 400;
    private static final int SOCKET_TIMEOUT_MS = 8_000;
    private static final Duration LOAD_BEFORE_DRAIN = Duration.ofMillis(500);
    private static final Duration FIRST_RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    /** From the end of the drain to the end of the process. */
    private static final Duration EXIT_TIME = Duration.ofMillis(300);

    private static final String JOB =
            "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":10,\"estMs\":100}]}";
    private static final Pattern CONTENT_LENGTH = Pattern.compile("Content-Length: (\\d+)", Pattern.CASE_INSENSITIVE);

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final AtomicLong lastJob = new AtomicLong();
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final Set<String> sent = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private StandinFleet fleet;
    private PlatformNode node;
    private InetSocketAddress address;

    @BeforeEach
    void startFleet() throws Exception {
        fleet = new StandinFleet(1, 100);
    }

    private void startNode(String graceSeconds) throws Exception {
        address = StandinFleet.reserveAddress();
        NodeSettingsText settings = new NodeSettingsText(
                "node", address, StandinFleet.reserveAddress(), StandinFleet.reserveAddress(), fleet.storeAddress());
        Path file = Files.writeString(
                directory.resolve("node.toml"), settings.text().replace("graceS = 6", "graceS = " + graceSeconds));
        node = PlatformNode.start(file, new LineSink(log), InstantSource.system());
        while (!log.toString(StandardCharsets.UTF_8).contains("leader-ready")) {
            Thread.sleep(20);
        }
    }

    @AfterEach
    void stop() {
        node.kill();
        fleet.close();
    }

    /**
     * Guards against requests that are read after the drain has looked at the requests in flight for the last time, with
     * a store that responds at once, late, and later than its callers wait.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, 2_500})
    void respondsToEveryRequestThatWasReadBeforeTheEndOfTheProcess(long storeDelayMs) throws Exception {
        startNode("6");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            boolean reuse = i % 3 != 0;
            clients.add(Thread.ofVirtual().start(() -> sendUntilStopped(reuse)));
        }
        Thread.sleep(LOAD_BEFORE_DRAIN);
        awaitFirstStoredJob();
        fleet.setStoreDelay(Duration.ofMillis(storeDelayMs));
        node.drain();
        Thread.sleep(EXIT_TIME);
        node.kill();
        stopped.set(true);
        for (Thread client : clients) {
            client.join();
        }
        Set<String> lost = ConcurrentHashMap.newKeySet();
        lost.addAll(sent);
        lost.retainAll(fleet.writtenKeys());
        lost.removeAll(statuses.keySet());
        assertThat(lost)
                .as("requests that reached the store and got no response")
                .isEmpty();
        assertThat(statuses.values()).contains(200).isSubsetOf(200, 503, 504);
    }

    /** A store that responds later than a transaction may take leaves no request with status 200 after this. */
    private void awaitFirstStoredJob() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + FIRST_RESPONSE_TIMEOUT.toNanos();
        while (!statuses.containsValue(200) && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(20);
        }
    }

    /** Guards against a drain that is killed because it takes longer than the platform waits. */
    @ParameterizedTest
    @ValueSource(strings = {"1", "2.5", "6"})
    void endsBeforeThePlatformKillsTheProcess(String graceSeconds) throws Exception {
        startNode(graceSeconds);
        Thread client = Thread.ofVirtual().start(() -> sendUntilStopped(false));
        Thread.sleep(LOAD_BEFORE_DRAIN);
        fleet.setStoreDelay(Duration.ofSeconds(10));
        long startNanos = System.nanoTime();
        node.drain();
        double drainSeconds = (System.nanoTime() - startNanos) / 1e9;
        stopped.set(true);
        client.join();
        assertThat(drainSeconds).isLessThan(Double.parseDouble(graceSeconds) * 0.9);
    }

    private void sendUntilStopped(boolean reuse) {
        while (!stopped.get()) {
            try (Socket socket = new Socket()) {
                socket.connect(address, SOCKET_TIMEOUT_MS);
                socket.setSoTimeout(SOCKET_TIMEOUT_MS);
                boolean open = true;
                while (open && !stopped.get()) {
                    Thread.sleep(reuse ? ThreadLocalRandom.current().nextInt(MAX_THINK_TIME_MS) : 0);
                    open = submit(socket) && reuse;
                }
            } catch (IOException closed) {
                sleep(5);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Submits a job; returns whether the connection stays open. */
    private boolean submit(Socket socket) throws IOException {
        String job = "%016x".formatted(lastJob.incrementAndGet());
        String request = "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(StandinFleet.QUEUE_PATH_PREFIX, job, StandinFleet.QUEUE_HOST, JOB.length(), JOB);
        sent.add(job);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        String headers = readHeaders(socket.getInputStream());
        Matcher length = CONTENT_LENGTH.matcher(headers);
        if (!length.find()) {
            throw new IOException("response without length: " + headers);
        }
        int contentLength = Integer.parseInt(length.group(1));
        if (socket.getInputStream().readNBytes(contentLength).length < contentLength) {
            throw new IOException("the response is not complete");
        }
        statuses.put(job, Integer.parseInt(headers.substring(9, 12)));
        return !headers.contains("Connection: close");
    }

    private static String readHeaders(InputStream input) throws IOException {
        StringBuilder headers = new StringBuilder();
        while (headers.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection was closed without a response");
            }
            headers.append((char) next);
        }
        return headers.toString();
    }
}
