package org.tamarackline.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.model.Resources;
import org.tamarackline.fleet.RecordStore;
import org.tamarackline.json.JsonNumbers;
import org.tamarackline.settings.Addresses;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a value of any kind, in any field, that makes a decoder fail other than by its declared exception. */
class DecoderPropertyTest {

    private static final Resources MAX_CAPACITY = new Resources(1_000_000_000, 1_000_000_000, 1_000);

    private static final String RUNNER =
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\","
                    + "\"born\":5,\"slots\":8,\"sequence\":9,\"capacity\":{\"cpu\":4000,\"memMb\":8000,\"gpu\":1},"
                    + "\"labels\":[\"a\",\"r1-1\"]}";

    private static final String STATUS = "{\"born\":5,\"clockMs\":10,"
            + "\"running\":[[\"00000000000000a1.0.1.2\",10001,\"cp\",41,7]],"
            + "\"ended\":[[3,\"00000000000000a1.0.0.0\",10002,\"done\",\"\"]]}";

    private static final String JOB = "{\"spec\":\"x\",\"repeats\":3,\"firstMs\":17,\"intervalMs\":1000,"
            + "\"steps\":[{\"count\":1},{\"count\":2,\"cpu\":500,\"memMb\":10,\"gpu\":1,\"estMs\":700,\"after\":[0],"
            + "\"affinity\":\"r1-1\",\"image\":\"i\",\"targetMs\":9,\"fills\":true}]}";

    private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
            + "\"prefix\":\"/p/\",\"service\":\"s\",\"priority\":0,\"maxAttempts\":3,\"stretch\":2.0,"
            + "\"targetLatencyMs\":1000,\"advice\":{\"decideMs\":1}}]}";

    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 2, 1_000, false);

    /** Returns JSON values: numbers of any size, texts, and arrays and objects that nest up to 2,000 levels. */
    @Provide
    Arbitrary<String> jsonValue() {
        Arbitrary<String> fixed = Arbitraries.of(
                "null",
                "true",
                "\"\"",
                "\"\\u0000\\ud800\"",
                "{}",
                "[]",
                "[[]]",
                "{\"a\":[null]}",
                "-0",
                "0.5",
                "1e400",
                "-1e400",
                "1e-400",
                "9223372036854775807",
                "9223372036854775808",
                "-9223372036854775809",
                "2147483648",
                "4294967297");
        Arbitrary<String> whole = Arbitraries.longs().map(String::valueOf);
        Arbitrary<String> decimal =
                Arbitraries.doubles().filter(Double::isFinite).map(String::valueOf);
        Arbitrary<String> longNumber = Arbitraries.integers().between(1, 1_500).map("7"::repeat);
        Arbitrary<String> nested =
                Arbitraries.integers().between(1, 2_000).map(depth -> "[".repeat(depth) + "]".repeat(depth));
        Arbitrary<String> text = Arbitraries.strings().alpha().ofMaxLength(400).map(letters -> '"' + letters + '"');
        return Arbitraries.oneOf(List.of(fixed, whole, decimal, longNumber, nested, text));
    }

    /** Replaces one value of a document, chosen by number, by another. */
    private static byte[] withValue(String document, int field, String value) {
        List<String> values = List.of(document.split("(?<=[:,\\[])|(?=[,\\]}])"));
        List<Integer> positions = IntStream.range(0, values.size())
                .filter(i -> values.get(i).matches("\"?[^,:\\[\\]{}]+\"?")
                        && !values.get(i).endsWith(":"))
                .boxed()
                .toList();
        int position = positions.get(Math.floorMod(field, positions.size()));
        String before = String.join("", values.subList(0, position));
        String after = String.join("", values.subList(position + 1, values.size()));
        return (before + value + after).getBytes(StandardCharsets.UTF_8);
    }

    private static void decodeAll(byte[] runner, byte[] status, byte[] job, byte[] configuration) {
        try {
            RunnerDescriptor descriptor = RunnerDecoder.decodeDescriptor("r", runner);
            assertThat(Addresses.isIpAndPort(descriptor.address())).isTrue();
            assertThat(Resources.NONE.fitsIn(descriptor.capacity())).isTrue();
            assertThat(descriptor.capacity().fitsIn(MAX_CAPACITY)).isTrue();
        } catch (RejectedEntryException rejected) {
            assertThat(rejected.getMessage()).hasSizeLessThan(100);
        }
        RunnerDecoder.decodeStatus(status).ifPresent(decoded -> {
            assertThat(decoded.activeRuns()).hasSize(1);
            assertThat(decoded.endedRuns()).hasSize(1);
            assertThat(decoded.processStartEpochMs()).isBetween(1L, JsonNumbers.MAX_EXACT);
        });
        try {
            assertThat(JobDecoder.decode("00000000000000a1", QUEUE, job, 0).steps())
                    .isNotEmpty();
        } catch (InvalidJobException invalid) {
            assertThat(invalid.getMessage()).hasSizeLessThan(300);
        }
        new ConfigurationDecoder()
                .decode(new RecordStore.Entry(RecordStore.Table.CONFIGURATION, "config", configuration, 1, false))
                .ifPresent(decoded -> assertThat(decoded.version()).isPositive());
    }

    @Property(tries = 3_000)
    void anyValueInAnyFieldIsDecodedWithinBoundsOrRejected(@ForAll int field, @ForAll("jsonValue") String value) {
        decodeAll(
                withValue(RUNNER, field, value),
                withValue(STATUS, field, value),
                withValue(JOB, field, value),
                withValue(CONFIGURATION, field, value));
    }

    @Property(tries = 2_000)
    void randomBytesAreRejected(@ForAll @Size(max = 80) byte[] bytes) {
        decodeAll(bytes, bytes, bytes, bytes);
    }
}
