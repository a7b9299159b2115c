package org.tamarackline.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.NodeId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/** Guards against settings that are read wrongly, violations reported one at a time, and messages with credentials. */
class EntrySettingsParserTest {

    private static final String MINIMAL = """
            node = "127.0.0.1:7400"
            region = "taiwan"
            data_centre = "taipei"
            caller_address = "127.0.0.1:8080"
            operator_address = "127.0.0.1:8081"
            platform_url = "http://127.0.0.1:9000"
            peer_key = "0123456789abcdef"
            operator_token = "fedcba9876543210"
            """;

    @TempDir
    private Path directory;

    @Test
    void theExampleFileIsValid() throws Exception {
        EntrySettings settings = EntrySettingsParser.read(Path.of("examples", "entry.toml"));
        assertThat(settings.node()).isEqualTo(new NodeId("127.0.0.1:7400"));
        assertThat(settings.cluster().membershipLease()).isEqualTo(Duration.ofSeconds(3));
        assertThat(settings.cluster().singleNode()).isTrue();
        assertThat(settings.callerTokens()).hasSize(2);
    }

    @Test
    void absentTablesGetTheirDefaults() throws Exception {
        EntrySettings settings = parse(MINIMAL);
        assertThat(settings.cluster()).isEqualTo(EntrySettings.ClusterTimes.defaults());
        assertThat(settings.requests()).isEqualTo(EntrySettings.RequestLimits.defaults());
        assertThat(settings.jobs()).isEqualTo(EntrySettings.JobLimits.defaults());
    }

    @Test
    void allViolationsAreReportedAtOnceWithTheirLines() {
        String text = """
                node = "node-1"
                region = "tai/wan"
                caller_address = "127.0.0.1:99999"
                operator_address = 8081
                platform_url = "ftp://127.0.0.1:9000"
                peer_key = "short"
                colour = "green"

                [cluster]
                hold_time_ms = "3 s"
                drain_delay_ms = -1
                single_node = "yes"

                [requests]
                queue_lenght = 10
                """;
        assertThat(violationsOf(text))
                .extracting(violation -> violation.line().orElse(0) + " " + violation.key())
                .containsExactlyInAnyOrder(
                        "1 node",
                        "2 region",
                        "0 data_centre",
                        "3 caller_address",
                        "4 operator_address",
                        "5 platform_url",
                        "6 peer_key",
                        "0 operator_token",
                        "7 colour",
                        "10 cluster.hold_time_ms",
                        "11 cluster.drain_delay_ms",
                        "12 cluster.single_node",
                        "15 requests.queue_lenght");
    }

    @Test
    void rulesOverSeveralKeysAreChecked() {
        String text = MINIMAL + """
                  [cluster]
                  take_time_ms = 4500
                  [jobs]
                  task_lease_ms = 9000
                  """;
        assertThat(violationsOf(text))
                .extracting(SettingsViolation::key)
                .containsExactlyInAnyOrder("cluster.take_time_ms", "jobs.task_lease_ms");
        assertThat(violationsOf(text).getFirst().message()).contains("= 4500 ms");
    }

    @Test
    void addressesMustDiffer() {
        String text = MINIMAL.replace("127.0.0.1:8081", "127.0.0.1:8080");
        assertThat(violationsOf(text)).extracting(SettingsViolation::key).containsExactly("operator_address");
    }

    @Test
    void credentialsAreAlsoReadFromFiles() throws Exception {
        Files.writeString(directory.resolve("token"), "token-from-a-file\n");
        String text = MINIMAL.replace("operator_token = \"fedcba9876543210\"", "operator_token_file = \"token\"") + """
                  [caller_token_files]
                  lianhua = "token"
                  """;
        EntrySettings settings = parse(text);
        assertThat(settings.operatorToken().reveal()).isEqualTo("token-from-a-file");
        assertThat(settings.callerTokens().get(new CallerName("lianhua")).matches("token-from-a-file"))
                .isTrue();
    }

    @Test
    void anUnreadableCredentialFileIsAViolation() {
        String text = MINIMAL.replace("operator_token = \"fedcba9876543210\"", "operator_token_file = \"absent\"");
        assertThat(violationsOf(text)).extracting(SettingsViolation::key).containsExactly("operator_token_file");
    }

    @Test
    void callersMustNotShareAToken() {
        String text = MINIMAL + """
                  [caller_tokens]
                  lianhua = "the-same-token-for-two"
                  nileleaf = "the-same-token-for-two"
                  """;
        assertThat(violationsOf(text)).extracting(SettingsViolation::key).containsExactly("caller_tokens");
    }

    @Test
    void violationsNeverShowCredentials() {
        String text =
                MINIMAL.replace("0123456789abcdef", "hunter2").replace("fedcba9876543210", "has space hunter2 x") + """
                  [caller_tokens]
                  lianhua = "hunter2"
                  nileleaf = 7
                  """;
        SettingsException exception = exceptionOf(text);
        assertThat(exception.violations()).hasSize(4);
        assertThat(exception.getMessage()).doesNotContain("hunter2");
    }

    @Test
    void syntaxErrorsAreReportedWithTheirLineButNotItsText() {
        SettingsException exception = exceptionOf("node = \"127.0.0.1:7400\"\npeer_key = hunter2\n");
        assertThat(exception.violations()).hasSize(1);
        assertThat(exception.violations().getFirst().line()).hasValue(2);
        assertThat(exception.getMessage()).doesNotContain("hunter2");
    }

    private EntrySettings parse(String text) throws SettingsException {
        return EntrySettingsParser.parse("test.toml", text, directory);
    }

    private List<SettingsViolation> violationsOf(String text) {
        return exceptionOf(text).violations();
    }

    private SettingsException exceptionOf(String text) {
        return catchThrowableOfType(SettingsException.class, () -> parse(text));
    }
}
