package org.tamarackline.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.QueueDefinition;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against submissions whose numbers wrap around into ones that are accepted. */
class JobDecoderTest {

    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 2, 1_000, false);
    private static final String VALID =
            "{\"spec\":\"x\",\"repeats\":3,\"firstMs\":1700000000000,\"intervalMs\":1000,\"steps\":[{\"count\":1},"
                    + "{\"count\":2,\"cpu\":500,\"memMb\":10,\"gpu\":1,\"estMs\":700,\"after\":[0],\"affinity\":\"r1-1\"}]}";

    private static JobDefinition decode(byte[] body) throws InvalidJobException {
        return JobDecoder.decode("00000000000000a1", QUEUE, body, 0);
    }

    static List<String> oddJobs() {
        return List.of(
                VALID.replace("\"cpu\":500", "\"cpu\":18446744073709551617"),
                VALID.replace("\"cpu\":500", "\"cpu\":1e400"),
                VALID.replace("\"cpu\":500", "\"cpu\":-1"),
                VALID.replace("\"count\":2", "\"count\":18446744073709551617"),
                VALID.replace("\"after\":[0]", "\"after\":[4294967296]"),
                VALID.replace("\"after\":[0]", "\"after\":0"),
                VALID.replace("\"after\":[0]", "\"after\":[" + "0,".repeat(200) + "0]"),
                VALID.replace("\"r1-1\"", "[]"),
                VALID.replace("\"r1-1\"", "\"" + "r".repeat(300) + "\""),
                VALID.replace("\"intervalMs\":1000", "\"intervalMs\":9223372036854775807"),
                VALID.replace("1700000000000", "9223372036854775807"),
                VALID.replace("\"repeats\":3", "\"repeats\":10000").replace("\"count\":2", "\"count\":4000"),
                VALID.replace("\"spec\":\"x\"", "\"spec\":" + "[".repeat(900) + "]".repeat(900)));
    }

    @Test
    void readsAValidJob() throws InvalidJobException {
        JobDefinition job = decode(VALID.getBytes(StandardCharsets.UTF_8));
        assertThat(job.steps()).hasSize(2);
        assertThat(job.dueEpochMs(2)).isEqualTo(1_700_000_002_000L);
    }

    @ParameterizedTest
    @MethodSource("oddJobs")
    void oddJobIsRefused(String body) {
        assertThatThrownBy(() -> decode(body.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOfSatisfying(
                        InvalidJobException.class,
                        refusal -> assertThat(refusal.getMessage().length()).isLessThan(300));
    }

    @Property(tries = 1_000)
    void randomBytesAreRefused(@ForAll @Size(max = 60) byte[] bytes) {
        assertThatThrownBy(() -> decode(bytes)).isInstanceOf(InvalidJobException.class);
    }
}
