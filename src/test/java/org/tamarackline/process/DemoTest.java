package org.tamarackline.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.load.Waits;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a demo that fails, and against child processes that outlive it. */
class DemoTest {

    private static final Duration TIMEOUT = Duration.ofMinutes(2);

    /** The demo starts 1 platform, 4 workers, 6 runners and 3 entry nodes. */
    private static final int CHILD_PROCESSES = 14;

    @TempDir
    private Path directory;

    @Test
    void showsEvictionsWithoutLossOrRepeat() throws Exception {
        Path output = directory.resolve("output");
        Process demo = start(output);
        try {
            assertThat(demo.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
            String text = Files.readString(output);
            assertThat(demo.exitValue()).as(text).isZero();
            assertThat(text).contains("evicted to make room: 2, resumed: 2");
        } finally {
            demo.destroy();
        }
    }

    @Test
    void sigtermEndsEveryProcess() throws Exception {
        Process demo = start(directory.resolve("output"));
        try {
            Waits.until("all processes run", TIMEOUT, () -> children(demo).size() == CHILD_PROCESSES);
        } finally {
            List<ProcessHandle> children = children(demo);
            demo.destroy();
            assertThat(demo.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
            Waits.until(
                    "all processes have ended", TIMEOUT, () -> children.stream().noneMatch(ProcessHandle::isAlive));
        }
    }

    private static Process start(Path output) throws IOException {
        return new ProcessBuilder(Path.of("target", "tamarackline").toString(), "demo")
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
    }

    private static List<ProcessHandle> children(Process demo) {
        return demo.children().toList();
    }
}
