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

/**
 * Guards against nodes that fail at their sockets to callers, other nodes, the store and runners, which are stand-ins.
 */
class PlatformNodeTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long TASK_MS = 700;
    private static final String JOB_ID = "00000000000000a1";
    private static final String TWO_STEP_JOB =
            "{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":10,\"estMs\":700},"
                    + "{\"count\":2,\"cpu\":500,\"memMb\":10,\"estMs\":700,\"after\":[0]}]}";
    private static final int TWO_STEP_JOB_TASKS = 6;
    private static final String LONG_RUNNING_JOB =
            "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"memMb\":10,\"longRunning\":true}]}";

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<PlatformNode> nodes = new ArrayList<>();
    private final List<InetSocketAddress> callerAddresses = new ArrayList<>();
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
        InetSocketAddress address = StandinFleet.reserveAddress();
        NodeSettingsText settings = new NodeSettingsText(
                name, address, StandinFleet.reserveAddress(), StandinFleet.reserveAddress(), fleet.storeAddress());
        Path file = Files.writeString(directory.resolve(name + ".toml"), settings.text());
        nodes.add(PlatformNode.start(file, new LineSink(log), InstantSource.system()));
        callerAddresses.add(address);
    }

    private void submit(int node, String body) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (caller.send(callerAddresses.get(node), "POST", JOB_ID, body) != 200) {
            assertThat(System.nanoTime() - deadlineNanos)
                    .as("time left to submit")
                    .isNegative();
            Thread.sleep(20);
        }
    }

    private String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    private void awaitLog(String text) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!logged().contains(text)) {
            assertThat(System.nanoTime() - deadlineNanos)
                    .as("time left for %s", text)
                    .isNegative();
            Thread.sleep(20);
        }
    }

    /** Guards against a job that is lost, or whose tasks start twice, because its node is not the leader. */
    @Test
    void runsAJobSubmittedToANodeThatDoesNotLead() throws Exception {
        startNode("first");
        awaitLog("leader-ready");
        startNode("second");
        submit(1, TWO_STEP_JOB);
        assertThat(caller.awaitJobState(callerAddresses.get(1), JOB_ID, "completed", TIMEOUT))
                .isTrue();
        assertThat(fleet.startCounts())
                .hasSize(TWO_STEP_JOB_TASKS)
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
        assertThat(logged()).contains("\"event\":\"job-end\"", "\"event\":\"start\"", "\"job\":\"" + JOB_ID + "\"");
    }

    /** Guards against tasks that run twice or never because the leader crashed while they ran. */
    @Test
    void successorTakesOverActiveRuns() throws Exception {
        startNode("first");
        awaitLog("leader-ready");
        startNode("second");
        submit(1, TWO_STEP_JOB);
        awaitLog("\"event\":\"start\"");
        nodes.removeFirst().kill();
        assertThat(caller.awaitJobState(callerAddresses.get(1), JOB_ID, "completed", TIMEOUT))
                .isTrue();
        assertThat(fleet.startCounts())
                .hasSize(TWO_STEP_JOB_TASKS)
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
    }

    /**
     * Guards against a successor that waits for the lease of a leader to expire although the leader has stepped down.
     */
    @Test
    void drainedLeaderStepsDownForItsSuccessor() throws Exception {
        startNode("first");
        awaitLog("leader-ready");
        startNode("second");
        submit(1, LONG_RUNNING_JOB);
        awaitLog("\"event\":\"start\"");
        awaitLog("\"event\":\"leader-followed\"");
        nodes.getFirst().drain();
        awaitLog("\"event\":\"earlier-leaders-ended\",\"epoch\":2,\"leader\":\"second\","
                + "\"reason\":\"each has ended or stepped down\"");
        assertThat(logged()).contains("\"event\":\"leader-resigned\"").doesNotContain("resignation-failed");
    }

    /**
     * Guards against the execution of a request that was refused, and against delayed refusals, while the store is
     * down.
     */
    @Test
    void refusesAtOnceWhileTheStoreIsDown() throws Exception {
        startNode("first");
        submit(0, LONG_RUNNING_JOB);
        fleet.setStoreDown(true);
        long startNanos = System.nanoTime();
        String otherJobId = "00000000000000a2";
        assertThat(caller.send(callerAddresses.getFirst(), "POST", otherJobId, TWO_STEP_JOB))
                .isEqualTo(503);
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(1));
        fleet.setStoreDown(false);
        assertThat(caller.awaitJobState(callerAddresses.getFirst(), JOB_ID, "running", TIMEOUT))
                .isTrue();
        assertThat(caller.send(callerAddresses.getFirst(), "GET", otherJobId, null))
                .isEqualTo(410);
        assertThat(fleet.startCounts().keySet()).noneMatch(task -> task.startsWith(otherJobId));
    }

    /** Guards against runs that continue after their job was cancelled. */
    @Test
    void cancelsALongRunningJob() throws Exception {
        startNode("first");
        submit(0, LONG_RUNNING_JOB);
        assertThat(caller.awaitJobState(callerAddresses.getFirst(), JOB_ID, "running", TIMEOUT))
                .isTrue();
        assertThat(caller.send(callerAddresses.getFirst(), "DELETE", JOB_ID, null))
                .isEqualTo(200);
        assertThat(caller.awaitJobState(callerAddresses.getFirst(), JOB_ID, "cancelled", TIMEOUT))
                .isTrue();
        awaitLog("\"event\":\"stop\"");
    }

    /** Guards against tasks that start again because a caller repeated the submission of their job. */
    @Test
    void acceptsARepeatedlySubmittedJobOnce() throws Exception {
        startNode("first");
        submit(0, TWO_STEP_JOB);
        submit(0, TWO_STEP_JOB);
        assertThat(caller.awaitJobState(callerAddresses.getFirst(), JOB_ID, "completed", TIMEOUT))
                .isTrue();
        submit(0, TWO_STEP_JOB);
        assertThat(caller.jobState(callerAddresses.getFirst(), JOB_ID)).contains("completed");
        assertThat(fleet.startCounts())
                .hasSize(TWO_STEP_JOB_TASKS)
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
    }

    /**
     * Guards against a leader that waits forever for a runner which an odd entry of the directory seems to name, and
     * against tasks that start a second time because garbage replaced the entry of their runner.
     */
    @Test
    void oddDirectoryEntriesLeaveTheJobsToTheOtherRunners() throws Exception {
        String odd = "{\"service\":\"dispatch\",\"address\":\"10.0.0.1:99999\",\"zone\":\"a\",\"state\":\"ready\","
                + "\"born\":5,\"capacity\":{\"cpu\":1e400,\"memMb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"]}";
        fleet.writeDirectoryEntry("aaa", odd.getBytes(StandardCharsets.UTF_8));
        startNode("first");
        submit(0, TWO_STEP_JOB);
        awaitLog("\"event\":\"start\"");
        fleet.writeDirectoryEntry("runner-0", "[".repeat(20_000).getBytes(StandardCharsets.UTF_8));
        assertThat(caller.awaitJobState(callerAddresses.getFirst(), JOB_ID, "completed", TIMEOUT))
                .isTrue();
        assertThat(fleet.startCounts())
                .hasSize(TWO_STEP_JOB_TASKS)
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
    }

    /** Guards against callers that are told "queued" of a job whose progress is damaged, and that cannot end it. */
    @Test
    void heldJobIsUnavailableOnEveryNodeUntilItIsCancelled() throws Exception {
        startNode("first");
        submit(0, LONG_RUNNING_JOB);
        awaitLog("\"event\":\"start\"");
        nodes.removeFirst().kill();
        fleet.writeFleetRecord("progress", JOB_ID, new byte[] {(byte) 0xc1});
        log.reset();
        startNode("second");
        awaitLog("leader-ready");
        startNode("third");
        awaitLog("\"node\":\"third\",\"event\":\"leader-followed\"");
        for (InetSocketAddress node : callerAddresses.subList(1, 3)) {
            assertThat(caller.send(node, "GET", JOB_ID, null)).isEqualTo(503);
        }
        assertThat(caller.send(callerAddresses.get(2), "DELETE", JOB_ID, null)).isEqualTo(200);
        assertThat(caller.awaitJobState(callerAddresses.get(2), JOB_ID, "cancelled", TIMEOUT))
                .isTrue();
        awaitLog("job-released");
        assertThat(fleet.startCounts())
                .allSatisfy((task, starts) -> assertThat(starts).isOne());
    }

    /** Guards against invalid requests that crash a node or are stored. */
    @Test
    void rejectsInvalidRequests() throws Exception {
        startNode("first");
        submit(0, TWO_STEP_JOB);
        InetSocketAddress node = callerAddresses.getFirst();
        String id = "00000000000000b1";
        assertThat(caller.send(node, "POST", id, "{\"spec\":")).isEqualTo(400);
        assertThat(caller.send(node, "POST", id, "{\"steps\":[]}")).isEqualTo(400);
        assertThat(caller.send(node, "POST", id, "{\"steps\":[{\"count\":1,\"after\":[0]}]}"))
                .isEqualTo(400);
        assertThat(caller.send(node, "POST", id, "{\"steps\":[{\"count\":999999999}]}"))
                .isEqualTo(400);
        assertThat(caller.send(node, "POST", "no-id", TWO_STEP_JOB)).isEqualTo(404);
        assertThat(caller.send(node, "PUT", id, TWO_STEP_JOB)).isEqualTo(405);
        assertThat(caller.send(node, "GET", id, null)).isEqualTo(410);
    }
}
