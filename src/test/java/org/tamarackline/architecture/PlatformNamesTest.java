package org.tamarackline.architecture;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against names of the users' platform outside the {@code platform} package, which translates them, and the
 * stand-ins, and against dependencies on that package.
 */
class PlatformNamesTest {

    private static final Path MAIN_SOURCES = Path.of("src", "main", "java", "org", "tamarackline");

    private static final Pattern PLATFORM_NAME = Pattern.compile(
            "/-/|\"(run-start|run-stop|rows-tx|rows-get|rows-feed|hold)\""
                    + "|TAMARACKLINE_BOOT|Expect-Instance|Duty-Holder|\"untilMs\"|\"lastSeen\"|\"expectedRev\"|\"antiAffinity\"");

    /** Import of the {@code platform} package, which is allowed only for the commands that start its node. */
    private static final Pattern ADAPTER_IMPORT = Pattern.compile("import org\\.tamarackline\\.platform\\.");

    @Test
    void onlyTheAdapterAndTheStandInsUseThePlatformsNames() throws IOException {
        assertThat(filesMatching(PLATFORM_NAME, "platform/", "standin/")).isEmpty();
    }

    @Test
    void onlyCommandsDependOnTheAdapter() throws IOException {
        assertThat(filesMatching(ADAPTER_IMPORT, "platform/", "cli/")).isEmpty();
    }

    @Test
    void thePatternsMatchSomeFiles() throws IOException {
        assertThat(filesMatching(PLATFORM_NAME)).isNotEmpty();
        assertThat(filesMatching(ADAPTER_IMPORT)).isNotEmpty();
    }

    private static List<String> filesMatching(Pattern pattern, String... allowed) throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(MAIN_SOURCES)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String relative = MAIN_SOURCES.relativize(file).toString();
                boolean exempt = Stream.of(allowed).anyMatch(relative::startsWith);
                if (!exempt && pattern.matcher(Files.readString(file)).find()) {
                    found.add(relative);
                }
            }
        }
        return found;
    }
}
