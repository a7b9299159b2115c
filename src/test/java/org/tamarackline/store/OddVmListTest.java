package org.tamarackline.store;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.http.HttpListener;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a VM list that no node can read any more because of one odd entry. */
class OddVmListTest {

    private static final String VALID = "{\"id\":\"w1\",\"role\":\"worker\",\"address\":\"10.0.0.1:80\","
            + "\"dataCentre\":\"dc-a\",\"rack\":\"r\",\"state\":\"LIVE\",\"slots\":8,\"connections\":64,"
            + "\"processors\":15.5,\"memoryMb\":60000,\"accelerators\":2}";

    private HttpListener listener;
    private HttpPlatformClient client;
    private volatile String body;

    @BeforeEach
    void start() throws Exception {
        listener = new HttpListener(1_000);
        var address = StandinFleet.reserveAddress();
        listener.add(
                address, 5_000, exchange -> exchange.respond(200, Map.of(), body.getBytes(StandardCharsets.UTF_8)));
        listener.start();
        client = new HttpPlatformClient("http://" + StandinFleet.hostAndPort(address), Duration.ofSeconds(3));
    }

    @AfterEach
    void stop() {
        client.close();
        listener.stop();
    }

    static List<String> oddEntries() {
        return List.of(
                "null",
                "7",
                "[]",
                "{}",
                VALID.replace("LIVE", "GONE"),
                VALID.replace("dc-a", "a:b/c"),
                VALID.replace("\"w1\"", "null"),
                VALID.replace("\"w1\"", "[".repeat(900) + "]".repeat(900)),
                VALID.replace(":80", ":99999"),
                VALID.replace(":80", ":0"),
                VALID.replace("10.0.0.1", "...."),
                VALID.replace("15.5", "1e400"),
                VALID.replace("15.5", "-1"),
                VALID.replace("60000", "9223372036854775808"),
                VALID.replace("60000", "9223372036854775807"),
                VALID.replace("\"accelerators\":2", "\"accelerators\":1099511627776"),
                VALID.replace("\"accelerators\":2", "\"accelerators\":-2"),
                VALID.replace("\"slots\":8", "\"slots\":-8"));
    }

    @ParameterizedTest
    @MethodSource("oddEntries")
    void oddEntryIsSkippedAndTheOthersAreRead(String entry) throws Exception {
        body = "[" + entry + "," + VALID + "]";
        assertThat(client.list()).extracting(VmRecord::id).containsExactly("w1");
    }
}
