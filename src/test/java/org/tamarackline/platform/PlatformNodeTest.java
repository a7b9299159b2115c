package org.tamarackline.platform;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.logging.LineSink;
import org.tamarackline.standin.fleet.NodeSettingsText;
import org.tamarackline.standin.fleet.StandinCaller;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays nodes over real sockets against the stand-ins of store and runners. */
class PlatformNodeTest {

    private static final Duration BOUND = Duration.ofSeconds(30);
    private static final long TASK_MS = 700;
    private static final String JOB = "00000000000000a1";
    private static final String TWO_STEPS =
            "{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":10,\"estMs\":700},"
                    + "{\"count\":2,\"cpu\":500,\"memMb\":10,\"estMs\":700,\"after\":[0]}]}";
    private static final int TASKS = 6;
    private static final String LASTING =
            "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":10,\"longRunning\":true}]}";

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<PlatformNode> nodes = new ArrayList<>();
    private final List<InetSocketAddress> callers = new ArrayList<>();
    private StandinFleet fleet;
    private AsyncHttpClient http;
    private StandinCaller caller;

    @BeforeEach
    void start() throws Exception {
        fleet = new StandinFleet(3, TASK_MS);
        http = new AsyncHttpClient(8);
        caller = new StandinCaller(http);
    }

    @AfterEach
    void stop() {
        nodes.forEach(PlatformNode::kill);
        http.close();
        fleet.close();
    }

    private void startNode(String name) throws Exception {
        InetSocketAddress address = StandinFleet.freeAddress();
        NodeSettingsText settings = new NodeSettingsText(
                name, address, StandinFleet.freeAddress(), StandinFleet.freeAddress(), fleet.storeAddress());
        Path file = Files.writeString(directory.resolve(name + ".toml"), settings.text());
        nodes.add(PlatformNode.start(file, new LineSink(log), InstantSource.system()));
        callers.add(address);
    }

    private void submit(int node, String body) throws InterruptedException {
        long endNanos = System.nanoTime() + BOUND.toNanos();
        while (caller.send(callers.get(node), "POST", JOB, body) != 200) {
            assertThat(System.nanoTime() - endNanos).as("time left to submit").isNegative();
            Thread.sleep(20);
        }
    }

    private String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    private void awaitLog(String text) throws InterruptedException {
        long endNanos = System.nanoTime() + BOUND.toNanos();
        while (!logged().contains(text)) {
            assertThat(System.nanoTime() - endNanos)
                    .as("time left for %s", text)
                    .isNegative();
            Thread.sleep(20);
        }
    }

    @Test
    void runsAJobSubmittedToANodeThatDoesNotLead() throws Exception {
        startNode("first");
        awaitLog("leader-ready");
        startNode("second");
        submit(1, TWO_STEPS);
        assertThat(caller.awaitState(callers.get(1), JOB, "completed", BOUND)).isTrue();
        assertThat(fleet.starts())
                .hasSize(TASKS)
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
        assertThat(logged()).contains("\"event\":\"job-end\"", "\"event\":\"start\"", "\"job\":\"" + JOB + "\"");
    }

    /** Guards against tasks that run again, or never, because the leader died while they ran. */
    @Test
    void successorTakesOverWhatRuns() throws Exception {
        startNode("first");
        awaitLog("leader-ready");
        startNode("second");
        submit(1, TWO_STEPS);
        awaitLog("\"event\":\"start\"");
        nodes.removeFirst().kill();
        assertThat(caller.awaitState(callers.get(1), JOB, "completed", BOUND)).isTrue();
        assertThat(fleet.starts())
                .hasSize(TASKS)
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
    }

    /** Guards against a successor that waits for a leader although that can tell it that it has ended. */
    @Test
    void drainedLeaderStepsDownForItsSuccessor() throws Exception {
        startNode("first");
        awaitLog("leader-ready");
        startNode("second");
        submit(1, LASTING);
        awaitLog("\"event\":\"start\"");
        awaitLog("\"event\":\"leader-followed\"");
        nodes.getFirst().drain();
        awaitLog("\"event\":\"earlier-leaders-ended\",\"epoch\":2,\"leader\":\"second\","
                + "\"reason\":\"each has ended or stepped down\"");
        assertThat(logged()).contains("\"event\":\"leader-resigned\"").doesNotContain("resignation-failed");
    }

    /** Guards against a refusal that is not true, and against holding a request while the store is away. */
    @Test
    void refusesAtOnceWhileTheStoreIsAway() throws Exception {
        startNode("first");
        submit(0, LASTING);
        fleet.setStoreDown(true);
        long startNanos = System.nanoTime();
        String other = "00000000000000a2";
        assertThat(caller.send(callers.getFirst(), "POST", other, TWO_STEPS)).isEqualTo(503);
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(1));
        fleet.setStoreDown(false);
        assertThat(caller.awaitState(callers.getFirst(), JOB, "running", BOUND)).isTrue();
        assertThat(caller.send(callers.getFirst(), "GET", other, null)).isEqualTo(410);
        assertThat(fleet.starts().keySet()).noneMatch(task -> task.startsWith(other));
    }

    @Test
    void cancelsALastingJob() throws Exception {
        startNode("first");
        submit(0, LASTING);
        assertThat(caller.awaitState(callers.getFirst(), JOB, "running", BOUND)).isTrue();
        assertThat(caller.send(callers.getFirst(), "DELETE", JOB, null)).isEqualTo(200);
        assertThat(caller.awaitState(callers.getFirst(), JOB, "cancelled", BOUND))
                .isTrue();
        awaitLog("\"event\":\"stop\"");
    }

    @Test
    void acceptsAJobOnceHoweverOftenItIsSent() throws Exception {
        startNode("first");
        submit(0, TWO_STEPS);
        submit(0, TWO_STEPS);
        assertThat(caller.awaitState(callers.getFirst(), JOB, "completed", BOUND))
                .isTrue();
        submit(0, TWO_STEPS);
        assertThat(caller.state(callers.getFirst(), JOB)).contains("completed");
        assertThat(fleet.starts())
                .hasSize(TASKS)
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
    }

    /** Guards against absurd input that takes a node down or is stored. */
    @Test
    void rejectsBadInput() throws Exception {
        startNode("first");
        submit(0, TWO_STEPS);
        InetSocketAddress node = callers.getFirst();
        String id = "00000000000000b1";
        assertThat(caller.send(node, "POST", id, "{\"spec\":")).isEqualTo(400);
        assertThat(caller.send(node, "POST", id, "{\"steps\":[]}")).isEqualTo(400);
        assertThat(caller.send(node, "POST", id, "{\"steps\":[{\"count\":1,\"after\":[0]}]}"))
                .isEqualTo(400);
        assertThat(caller.send(node, "POST", id, "{\"steps\":[{\"count\":999999999}]}"))
                .isEqualTo(400);
        assertThat(caller.send(node, "POST", "no-id", TWO_STEPS)).isEqualTo(404);
        assertThat(caller.send(node, "PUT", id, TWO_STEPS)).isEqualTo(405);
        assertThat(caller.send(node, "GET", id, null)).isEqualTo(410);
    }
}
