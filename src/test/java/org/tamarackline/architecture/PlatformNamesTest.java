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

/** Guards the rest of the product against the names of the users' platform, which one package translates. */
class PlatformNamesTest {

    private static final Path MAIN = Path.of("src", "main", "java", "org", "tamarackline");

    private static final Pattern NAMES = Pattern.compile(
            "/-/|\"(run-start|run-stop|rows-tx|rows-get|rows-feed|hold)\""
                    + "|TAMARACKLINE_BOOT|Expect-Instance|Duty-Holder|\"untilMs\"|\"lastSeen\"|\"expectedRev\"|\"antiAffinity\"");

    /** Commands start the package's node; nothing else may depend on it. */
    private static final Pattern DEPENDENCY = Pattern.compile("import org\\.tamarackline\\.platform\\.");

    @Test
    void onlyTheAdapterAndTheStandInsUseThePlatformsNames() throws IOException {
        assertThat(filesWith(NAMES, "platform/", "standin/")).isEmpty();
    }

    @Test
    void onlyCommandsDependOnTheAdapter() throws IOException {
        assertThat(filesWith(DEPENDENCY, "platform/", "cli/")).isEmpty();
    }

    @Test
    void theRuleFindsTheNames() throws IOException {
        assertThat(filesWith(NAMES)).isNotEmpty();
        assertThat(filesWith(DEPENDENCY)).isNotEmpty();
    }

    private static List<String> filesWith(Pattern pattern, String... allowed) throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(MAIN)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String relative = MAIN.relativize(file).toString();
                boolean exempt = Stream.of(allowed).anyMatch(relative::startsWith);
                if (!exempt && pattern.matcher(Files.readString(file)).find()) {
                    found.add(relative);
                }
            }
        }
        return found;
    }
}
