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

/** Guards against core packages that use I/O, threads or timers, or that depend on other packages of the project. */
class ArchitectureTest {

    private static final Path CORE_SOURCES = Path.of("src", "main", "java", "org", "tamarackline", "core");

    /**
     * APIs and packages that the core must not use. Character sets are allowed because they convert in memory. Of
     * java.util.concurrent, collections and atomics are allowed; executors and classes that block are not.
     */
    private static final Pattern FORBIDDEN_API = Pattern.compile("\\bjava\\.(io\\b|net\\b|nio\\.(?!charset\\b))"
            + "|\\bjava\\.util\\.(Timer|Scanner)\\b"
            + "|\\bjava\\.util\\.concurrent\\.(\\w*Execut\\w*|\\w*Future\\w*|Flow|ForkJoin\\w*|Semaphore|CountDownLatch"
            + "|\\w*Queue|Thread\\w*)\\b"
            + "|\\bnew Thread\\b|\\bThread\\.(sleep|start|of\\w*)\\b"
            + "|\\bSystem\\.(out|err|in|currentTimeMillis)\\b"
            + "|\\bInstant\\.now\\b"
            + "|\\borg\\.tamarackline\\.(?!core\\b)\\w+");

    @Test
    void coreHasNoIoOrThreadsAndDependsOnNoOtherPackage() throws IOException {
        List<String> violations = new ArrayList<>();
        try (Stream<Path> files = Files.walk(CORE_SOURCES)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                collectViolations(file, violations);
            }
        }
        assertThat(violations).isEmpty();
    }

    @Test
    void thePatternMatchesForbiddenApisOnly() {
        assertThat(FORBIDDEN_API.matcher("import java.net.Socket;").find()).isTrue();
        assertThat(FORBIDDEN_API
                        .matcher("import org.tamarackline.entry.StateDump;")
                        .find())
                .isTrue();
        assertThat(FORBIDDEN_API
                        .matcher("import java.util.concurrent.Executors;")
                        .find())
                .isTrue();
        assertThat(FORBIDDEN_API
                        .matcher("import org.tamarackline.core.model.NodeId;")
                        .find())
                .isFalse();
        assertThat(FORBIDDEN_API
                        .matcher("import java.util.concurrent.ConcurrentHashMap;")
                        .find())
                .isFalse();
    }

    private static void collectViolations(Path file, List<String> violations) throws IOException {
        for (String line : Files.readAllLines(file)) {
            boolean comment = line.strip().startsWith("*") || line.strip().startsWith("/*");
            if (!comment && FORBIDDEN_API.matcher(line).find()) {
                violations.add(file + ": " + line.strip());
            }
        }
    }
}
