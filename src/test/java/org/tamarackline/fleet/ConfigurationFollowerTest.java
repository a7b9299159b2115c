package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how long a node takes to bring a confirmed configuration into force. */
class ConfigurationFollowerTest {

    /** Time that the platform gives a node from the confirmation of a configuration. */
    private static final Duration APPLY_BOUND = Duration.ofSeconds(2);

    private static final Duration OUTAGE = Duration.ofSeconds(8);
    private static final Duration STEP = Duration.ofMillis(10);

    private final ManualLoop loop = new ManualLoop();
    private final SimulatedStore store = new SimulatedStore(loop, true);
    private final SimulatedStoreClient.Link link = new SimulatedStoreClient.Link(new Random(1), 500);
    private final SimulatedStoreClient client = new SimulatedStoreClient(loop, loop, store, link);
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private final ConfigurationFollower follower = new ConfigurationFollower(
            loop,
            client,
            ConfigurationRecords::decode,
            new DecisionLog(sink, () -> Instant.EPOCH, loop, "node"),
            FleetMetrics.NONE,
            new Random(1));

    private void startWithVersion1() {
        store.apply(ConfigurationRecords.storing(1));
        follower.start();
        loop.advance(Duration.ofSeconds(5));
        assertThat(follower.current().version()).isEqualTo(1);
    }

    private Duration timeUntilVersion2IsInForce() {
        long startNanos = loop.nowNanos();
        while (follower.current().version() < 2) {
            loop.advance(STEP);
        }
        return Duration.ofNanos(loop.nowNanos() - startNanos);
    }

    /** Guards against a version that waits for the timeouts of connections which have gone silent. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4})
    void versionIsInForceInTimeAlthoughConnectionsAreSilent(int silentConnections) {
        startWithVersion1();
        link.silenceConnections(silentConnections);
        while (link.silentConnections() == silentConnections) {
            loop.advance(STEP);
        }
        store.apply(ConfigurationRecords.storing(2));
        assertThat(timeUntilVersion2IsInForce()).isLessThan(APPLY_BOUND);
    }

    /** Guards against a version that waits for a retry whose delay has grown during an outage. */
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 600, 900, 1_200, 1_500, 1_800, 2_100, 2_400})
    void versionIsInForceSoonAfterASilentOutage(int furtherMs) {
        startWithVersion1();
        store.setAvailability(SimulatedStore.Availability.SILENT);
        loop.advance(OUTAGE.plusMillis(furtherMs));
        store.apply(ConfigurationRecords.storing(2));
        store.setAvailability(SimulatedStore.Availability.AVAILABLE);
        assertThat(timeUntilVersion2IsInForce()).isLessThan(APPLY_BOUND);
    }

    /** Guards against an older version that is in force again because a record of it was read later. */
    @Test
    void olderVersionIsNotInstalled() {
        startWithVersion1();
        store.apply(ConfigurationRecords.storing(3));
        loop.advance(APPLY_BOUND);
        store.apply(ConfigurationRecords.storing(2));
        link.loseHistory();
        loop.advance(Duration.ofSeconds(5));
        assertThat(follower.current().version()).isEqualTo(3);
    }

    /** Guards against a repetition for each answer of a store that is slow but sound. */
    @ParameterizedTest
    @ValueSource(ints = {50, 100})
    void answersInTimeAreNotRequestedAgain(int latencyMs) {
        store.setAdditionalLatency(Duration.ofMillis(latencyMs));
        startWithVersion1();
        loop.advance(Duration.ofSeconds(10));
        sink.flush();
        assertThat(output.toString(StandardCharsets.UTF_8)).doesNotContain("read-repeated");
    }
}
