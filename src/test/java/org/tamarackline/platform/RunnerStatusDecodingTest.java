package org.tamarackline.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a status that is read in part: a run that is not read counts as ended, so its task starts a second
 * time.
 */
class RunnerStatusDecodingTest {

    private static final String VALID = "{\"born\":5,\"clockMs\":10,"
            + "\"running\":[[\"00000000000000a1.0.1.2\",10001,\"cp\",41,7]],"
            + "\"ended\":[[3,\"00000000000000a1.0.0.0\",10002,\"done\",\"\"]]}";

    static List<String> oddStatuses() {
        return List.of(
                "",
                "{",
                "[]",
                "{}",
                VALID.replace("\"born\":5,", ""),
                VALID.replace("\"born\":5", "\"born\":0"),
                VALID.replace("\"born\":5", "\"born\":\"x\""),
                VALID.replace("\"born\":5", "\"born\":5.5"),
                VALID.replace("\"born\":5", "\"born\":18446744073709551621"),
                VALID.replace("\"clockMs\":10", "\"clockMs\":1e400"),
                VALID.replace("\"clockMs\":10", "\"clockMs\":-1"),
                VALID.replace("\"running\"", "\"other\""),
                VALID.replace("\"ended\"", "\"other\""),
                VALID.replace("\"running\":[", "\"running\":[7,"),
                VALID.replace("\"running\":[", "\"running\":{\"a\":[").replace("],\"ended\"", "]},\"ended\""),
                VALID.replace("00000000000000a1.0.1.2", "00000000000000a1.0.1"),
                VALID.replace("00000000000000a1.0.1.2", "00000000000000a1.0.1.-2"),
                VALID.replace("00000000000000a1.0.1.2", "00000000000000a1.0.1.+2"),
                VALID.replace("00000000000000a1.0.1.2", "00000000000000a1.0.1.99999999999"),
                VALID.replace("00000000000000a1.0.1.2", ".0.1.2"),
                VALID.replace("\"00000000000000a1.0.1.2\"", "null"),
                VALID.replace("10001", "\"10001\""),
                VALID.replace("10001", "18446744073709561617"),
                VALID.replace("10001", "-1"),
                VALID.replace("\"cp\"", "[\"cp\"]"),
                VALID.replace("41", "1e400"),
                VALID.replace("41", "\"41\""),
                VALID.replace(",7]", ",1e400]"),
                VALID.replace(",7]", "," + "[".repeat(900) + "]".repeat(900) + "]"),
                VALID.replace("[[3", "[[\"3\""),
                VALID.replace("[[3", "[[0"),
                VALID.replace("[[3", "[[18446744073709551617"),
                VALID.replace("00000000000000a1.0.0.0", "x"),
                VALID.replace("10002", "1e30"),
                VALID.replace("\"done\"", "1"));
    }

    private static boolean decoded(String status) {
        return RunnerDecoder.decodeStatus(status.getBytes(StandardCharsets.UTF_8))
                .isPresent();
    }

    @Test
    void validStatusesAreRead() {
        assertThat(decoded(VALID)).isTrue();
        assertThat(decoded(VALID.replace(",7]", "]"))).isTrue();
        assertThat(decoded("{\"born\":5,\"clockMs\":0,\"running\":[],\"ended\":null}"))
                .isTrue();
    }

    @ParameterizedTest
    @MethodSource("oddStatuses")
    void oddStatusIsNotReadInPart(String status) {
        assertThat(decoded(status)).isFalse();
    }

    @Property(tries = 2_000)
    void randomBytesNeverFail(@ForAll @Size(max = 60) byte[] bytes) {
        assertThat(RunnerDecoder.decodeStatus(bytes)).isNotNull();
    }
}
