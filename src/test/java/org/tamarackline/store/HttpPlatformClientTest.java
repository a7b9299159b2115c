package org.tamarackline.store;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.node.IntNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.load.PortReservations;
import org.tamarackline.standin.platform.PlatformFaults;
import org.tamarackline.standin.platform.StandinPlatform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/** Guards against calls that exceed their timeout and against wrong reports of the outcome of a transaction. */
class HttpPlatformClientTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration TIMEOUT_WITH_MARGIN = Duration.ofSeconds(3);
    private static final String KEY = "region/r 1/node/10.0.0.1:70+ü%2F?#";

    private StandinPlatform platform;
    private HttpPlatformClient client;

    @BeforeEach
    void start() throws Exception {
        platform = StandinPlatform.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), List.of());
        client = new HttpPlatformClient(platform.url(), TIMEOUT);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    @Test
    void keepsKeysWithReservedCharactersApart() throws Exception {
        client.transact(put("t1", KEY, 0, 7));
        client.transact(put("t2", "region/r 1/node", 0, 8));
        assertThat(client.get(KEY)).contains(new Row(KEY, IntNode.valueOf(7), 1));
        assertThat(client.scan("region/r 1/node/", "", 500))
                .extracting(Row::key)
                .containsExactly(KEY);
        client.objects().put(KEY, new byte[] {1, 2});
        assertThat(client.objects().get(KEY)).contains(new byte[] {1, 2});
        client.objects().delete(KEY);
        assertThat(client.objects().get(KEY)).isEmpty();
        assertThat(client.get("absent")).isEmpty();
    }

    @Test
    void rejectsATransactionWhoseCheckFails() throws Exception {
        client.transact(put("t1", KEY, 0, 1));
        assertThatExceptionOfType(TransactionConflictException.class)
                .isThrownBy(() -> client.transact(put("t2", KEY, 0, 2)))
                .satisfies(conflict -> assertThat(conflict.currentVersion()).isEqualTo(1));
        assertThat(client.wasApplied("t2")).isFalse();
    }

    @Test
    void resolvesALostResponseByReadingTheTokenBack() throws Exception {
        platform.setFaults(new PlatformFaults(false, 0, 1, false, 0));
        client.transact(put("t1", KEY, 0, 1));
        assertThat(platform.counters().rowsWritten()).isEqualTo(1);
        assertThat(client.wasApplied("t1")).isTrue();
    }

    @Test
    void boundsACallToASilentPlatformAndLeavesTheWriteUnknown() {
        platform.setFaults(new PlatformFaults(false, 0, 0, true, 0));
        long startNanos = System.nanoTime();
        assertThatExceptionOfType(OutcomeUnknownException.class)
                .isThrownBy(() -> client.transact(put("t1", KEY, 0, 1)));
        assertThatExceptionOfType(PlatformUnavailableException.class).isThrownBy(() -> client.get(KEY));
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(TIMEOUT_WITH_MARGIN);
    }

    @Test
    void worksAgainOnNewConnectionsAfterSilence() throws Exception {
        client.transact(put("t1", KEY, 0, 1));
        platform.setFaults(new PlatformFaults(false, 0, 0, true, 0));
        assertThatExceptionOfType(PlatformUnavailableException.class).isThrownBy(() -> client.get(KEY));
        platform.setFaults(PlatformFaults.NONE);
        assertThat(client.get(KEY)).isPresent();
    }

    @Test
    void reportsNotAppliedOnlyIfRefusedOrNotSent() throws Exception {
        platform.setFaults(new PlatformFaults(true, 0, 0, false, 0));
        assertThatExceptionOfType(PlatformUnavailableException.class)
                .isThrownBy(() -> client.transact(put("t1", KEY, 0, 1)));
        try (PortReservations ports = new PortReservations();
                HttpPlatformClient unreachable =
                        new HttpPlatformClient("http://127.0.0.1:" + ports.reserve(), TIMEOUT)) {
            assertThatExceptionOfType(PlatformUnavailableException.class)
                    .isThrownBy(() -> unreachable.transact(put("t1", KEY, 0, 1)));
        }
        assertThat(platform.rows("")).isEmpty();
    }

    @Test
    void convertsTheVmList() throws Exception {
        VmRecord vm = new VmRecord(
                "w1",
                VmRecord.WORKER_ROLE,
                "127.0.0.1:9",
                new DataCentre("dc-a"),
                "rack-1",
                VmRecord.State.LEAVING,
                0,
                0,
                new Resources(15_500, 60_000, 2));
        platform.setVms(List.of(VmEntry.of(vm)));
        assertThat(client.list()).containsExactly(vm);
    }

    private static TableTransaction put(String token, String key, long version, int value) {
        return new TableTransaction(
                token,
                List.of(new TableTransaction.Check(key, version)),
                List.of(new TableTransaction.Write(key, IntNode.valueOf(value))));
    }
}
