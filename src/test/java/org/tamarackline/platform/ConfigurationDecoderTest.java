package org.tamarackline.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tamarackline.core.fleet.FleetConfiguration;
import org.tamarackline.fleet.RecordStore;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a configuration that is taken although its numbers wrap around or its queues have no name. */
class ConfigurationDecoderTest {

    private static final String ROUTE = "{\"name\":\"q\",\"host\":\"odd\",\"prefix\":\"/p/\","
            + "\"service\":\"s\",\"priority\":0,\"maxAttempts\":3,\"stretch\":2.0,\"targetLatencyMs\":1000}";

    private static final String VALID = "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/p/\","
            + "\"service\":\"s\",\"priority\":0,\"maxAttempts\":3,\"stretch\":2.0,\"targetLatencyMs\":1000}]}";

    private static Optional<FleetConfiguration> decode(byte[] bytes) {
        return new ConfigurationDecoder()
                .decode(new RecordStore.Entry(RecordStore.Table.CONFIGURATION, "config", bytes, 1, false));
    }

    private static Optional<FleetConfiguration> decode(String text) {
        return decode(text.getBytes(StandardCharsets.UTF_8));
    }

    static List<String> oddConfigurations() {
        return List.of(
                "",
                "[]",
                "{}",
                VALID + "x",
                VALID.replace("\"version\":3", "\"version\":\"3\""),
                VALID.replace("\"version\":3", "\"version\":1e400"),
                VALID.replace("\"version\":3", "\"version\":18446744073709551616"),
                VALID.replace("\"version\":3", "\"version\":-3"),
                VALID.replace("\"routes\"", "\"other\""),
                VALID.replace("\"routes\":[", "\"routes\":{\"a\":[").replace("]}", "]}}"),
                VALID.replace("\"q\"", "[".repeat(900) + "]".repeat(900)));
    }

    static List<String> oddRoutes() {
        return List.of(
                "7",
                "null",
                "[]",
                ROUTE.replace("\"odd\"", "{}"),
                ROUTE.replace("\"q\"", "7"),
                ROUTE.replace("\"priority\":0", "\"priority\":4294967296"),
                ROUTE.replace("\"priority\":0", "\"priority\":-1"),
                ROUTE.replace("\"maxAttempts\":3", "\"maxAttempts\":4294967297"),
                ROUTE.replace("2.0", "1e400"),
                ROUTE.replace("2.0", "\"x\""),
                ROUTE.replace("1000", "1e300"),
                ROUTE.replace("1000", "18446744073709551616"));
    }

    /** Guards against an odd route that is in force with other numbers, or that keeps the others from coming into force. */
    @ParameterizedTest
    @MethodSource("oddRoutes")
    void oddRouteIsSkippedAndTheOthersAreInForce(String route) {
        FleetConfiguration configuration = decode(VALID.replace("\"routes\":[", "\"routes\":[" + route + ","))
                .orElseThrow();
        assertThat(configuration.match("h", "/p/x")).isPresent();
        assertThat(configuration.match("odd", "/p/x")).isEmpty();
        assertThat(configuration.size()).isEqualTo(1);
    }

    @Test
    void readsAValidConfiguration() {
        assertThat(decode(VALID).orElseThrow().match("h", "/p/x")).isPresent();
        assertThat(decode("{\"version\":3,\"routes\":[]}")).isPresent();
    }

    @ParameterizedTest
    @MethodSource("oddConfigurations")
    void oddConfigurationIsNotInstalled(String text) {
        assertThat(decode(text)).isEmpty();
    }

    @Property(tries = 1_000)
    void randomBytesNeverFail(@ForAll @Size(max = 60) byte[] bytes) {
        assertThat(decode(bytes)).isEmpty();
    }
}
