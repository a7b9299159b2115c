package org.tamarackline.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.fleet.DecisionLog;
import org.tamarackline.fleet.SingleThreadLoop;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.logging.LineSink;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a directory entry of another writer that is used as a runner, or that hides the other runners. */
class RunnerDirectoryTest {

    private static final String VALID = "{\"service\":\"dispatch\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
            + "\"state\":\"ready\",\"born\":5,\"capacity\":{\"cpu\":4000,\"memMb\":8000,\"gpu\":1},"
            + "\"labels\":[\"a\",\"r1-1\"]}";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private StandinFleet fleet;
    private AsyncHttpClient http;
    private SingleThreadLoop loop;
    private StoreClient client;

    @BeforeEach
    void start() throws Exception {
        fleet = new StandinFleet(2, 100);
        http = new AsyncHttpClient(2);
        loop = new SingleThreadLoop("runner-directory-test");
        client = new StoreClient(
                http, loop, new DecisionLog(sink, InstantSource.system(), loop, "node"), fleet.storeAddress());
    }

    @AfterEach
    void stop() {
        loop.close();
        http.close();
        fleet.close();
    }

    private List<RunnerDescriptor> list() throws InterruptedException {
        BlockingQueue<Optional<List<RunnerDescriptor>>> answers = new LinkedBlockingQueue<>();
        loop.execute(() -> client.list(answers::add));
        Optional<List<RunnerDescriptor>> answer = answers.poll(5, TimeUnit.SECONDS);
        assertThat(answer).as("answer").isNotNull();
        return answer.orElseThrow();
    }

    private List<String> rejections() {
        sink.flush();
        return output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"runner-entry-rejected\""))
                .toList();
    }

    private void write(String key, String entry) {
        fleet.writeDirectoryEntry(key, entry.getBytes(StandardCharsets.UTF_8));
    }

    static List<String> oddEntries() {
        return List.of(
                "",
                "null",
                "[]",
                "{",
                "\u0000\u0001",
                VALID + "x",
                VALID.replace("\"a\",\"r1-1\"", "[".repeat(900) + "]".repeat(900)),
                VALID.replace("\"a\",\"r1-1\"", "[".repeat(20_000) + "]".repeat(20_000)),
                VALID.replace("\"zone\":\"a\"", "\"zone\":\"a\",\"more\":" + "[".repeat(900) + "]".repeat(900)),
                VALID.replace("[\"a\",\"r1-1\"]", "\"a\""),
                VALID.replace("\"a\",", "7,"),
                VALID.replace("4000", "1e400"),
                VALID.replace("4000", "9223372036854775808"),
                VALID.replace("4000", "123456789012345678901234567890"),
                VALID.replace("4000", "1".repeat(2_000)),
                VALID.replace("4000", "-5"),
                VALID.replace("4000", "0.5"),
                VALID.replace("4000", "\"4000\""),
                VALID.replace("8000", "-1"),
                VALID.replace("8000", "1e300"),
                VALID.replace("\"gpu\":1", "\"gpu\":1099511627776"),
                VALID.replace("\"gpu\":1", "\"gpu\":-1"),
                VALID.replace("\"gpu\":1", "\"gpu\":\"1\""),
                VALID.replace("\"born\":5", "\"born\":\"5\""),
                VALID.replace("\"born\":5", "\"born\":1e30"),
                VALID.replace("\"born\":5", "\"born\":-1"),
                VALID.replace("10.0.0.1:80", "10.0.0.1:99999"),
                VALID.replace("10.0.0.1:80", "10.0.0.1:0"),
                VALID.replace("10.0.0.1:80", "....:80"),
                VALID.replace("10.0.0.1:80", "999.1.1.1:80"),
                VALID.replace("10.0.0.1:80", "host:80"),
                VALID.replace("\"10.0.0.1:80\"", "7"),
                VALID.replace("\"zone\":\"a\"", "\"zone\":{}"),
                VALID.replace("\"zone\":\"a\"", "\"slots\":\"x\""),
                VALID.replace("\"dispatch\"", "7"),
                VALID.replace("ready", "gone"),
                VALID.replace("\"ready\"", "[\"ready\"]"));
    }

    @Test
    void readsAValidEntry() throws InterruptedException {
        write("valid", VALID);
        assertThat(list()).extracting(RunnerDescriptor::id).containsExactly("runner-0", "runner-1", "valid");
        assertThat(rejections()).isEmpty();
    }

    /** Guards against capacity that wraps around, addresses that cannot be called, and entries that nobody hears of. */
    @ParameterizedTest
    @MethodSource("oddEntries")
    void oddEntryNamesNoRunnerAndLeavesTheOthers(String entry) throws InterruptedException {
        write("odd", entry);
        assertThat(list()).extracting(RunnerDescriptor::id).containsExactly("runner-0", "runner-1");
        assertThat(rejections()).singleElement().asString().contains("\"runner\":\"odd\"");
    }

    /** Guards against a line for each reading of the directory. */
    @Test
    void rejectionIsLoggedWhenItAppearsOrChanges() throws InterruptedException {
        write("odd", "{}");
        list();
        list();
        assertThat(rejections()).hasSize(1);
        write("odd", VALID.replace("4000", "-5"));
        list();
        list();
        assertThat(rejections()).hasSize(2);
        write("odd", VALID);
        assertThat(list()).hasSize(3);
        write("odd", "{}");
        list();
        assertThat(rejections()).hasSize(3);
    }

    /** Guards against a log and a memory that grow with the number of rejected entries. */
    @Test
    void manyRejectionsAreLoggedAFewAtATime() throws InterruptedException {
        for (int i = 0; i < 600; i++) {
            write("odd-" + i, "{}");
        }
        assertThat(list()).hasSize(2);
        assertThat(rejections()).hasSizeBetween(1, 20);
        for (int i = 0; i < 40; i++) {
            list();
        }
        assertThat(rejections()).hasSizeBetween(100, 256);
    }

    /** Guards against a header that a runner's identifier breaks. */
    @Test
    void entryUnderAnOddKeyNamesNoRunner() throws InterruptedException {
        write("a\r\nX-Y: z", VALID);
        write("", VALID);
        write("\u00e9", VALID);
        assertThat(list()).extracting(RunnerDescriptor::id).containsExactly("runner-0", "runner-1");
    }
}
