package org.tamarackline.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against wrong exit codes, on which scripts rely, and against messages that show credentials. */
class CommandLineTest {

    private static final String EXAMPLE_SETTINGS =
            Path.of("examples", "entry.toml").toString();

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    @Test
    void helpAndVersionExitWithZero() {
        assertThat(run("--help")).isZero();
        assertThat(text(output)).contains("check-config").contains("Exit codes: 0 done, 1 failed");
        assertThat(run("--version")).isZero();
    }

    @Test
    void everyCommandHasHelp() {
        for (CommandRegistry.CommandDescriptor descriptor : CommandRegistry.commands()) {
            output.reset();
            List<String> arguments = new ArrayList<>(List.of(descriptor.name().split(" ", -1)));
            arguments.add("--help");
            assertThat(run(arguments.toArray(String[]::new)))
                    .as(descriptor.name())
                    .isZero();
            assertThat(text(output)).contains("Usage: tamarackline " + descriptor.name());
        }
    }

    @Test
    void usageErrorsExitWithTwo() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("no-such-command")).isEqualTo(2);
        assertThat(run("entry")).isEqualTo(2);
        assertThat(run("check-config", EXAMPLE_SETTINGS, "surplus")).isEqualTo(2);
        assertThat(run("check-config", "/no/such/file")).isEqualTo(2);
        assertThat(run("state", "--node", "nonsense", "--token-file", EXAMPLE_SETTINGS))
                .isEqualTo(2);
        assertThat(run("profile", "list", "--node", "http://127.0.0.1:1", "--token-file", "/no/such/file"))
                .isEqualTo(2);
    }

    @Test
    void invalidSettingsExitWithTwoAndAreListed() throws Exception {
        Path file = Files.writeString(directory.resolve("wrong.toml"), "colour = 1\nnode = 2\n");
        assertThat(run("check-config", file.toString())).isEqualTo(2);
        assertThat(text(errors))
                .contains("line 1: colour")
                .contains("line 2: node")
                .contains("region: is missing");
    }

    @Test
    void validSettingsExitWithZero() {
        assertThat(run("check-config", EXAMPLE_SETTINGS)).isZero();
    }

    @Test
    void anUnreachableNodeExitsWithOne() throws Exception {
        Path token = Files.writeString(directory.resolve("token"), "a-token-of-the-test\n");
        assertThat(run("state", "--node", "http://127.0.0.1:1", "--token-file", token.toString()))
                .isEqualTo(1);
        assertThat(text(errors)).contains("no answer from");
    }

    @Test
    void anInvalidTokenFileExitsWithTwoAndIsNotShown() throws Exception {
        Path token = Files.writeString(directory.resolve("token"), "hunter2\nhunter3\n");
        assertThat(run("state", "--node", "http://127.0.0.1:1", "--token-file", token.toString()))
                .isEqualTo(2);
        assertThat(text(errors)).doesNotContain("hunter");
    }

    private int run(String... arguments) {
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(errors, true, StandardCharsets.UTF_8);
        return new CommandLine(out, err).run(List.of(arguments));
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
