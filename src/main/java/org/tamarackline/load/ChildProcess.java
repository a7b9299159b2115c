package org.tamarackline.load;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process started from the binary. It is ended through its handle, so that no other process can be hit. */
public final class ChildProcess {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int MAX_SHOWN_LOG_LINES = 15;

    private final String name;
    private final Process process;
    private final Path logFile;

    private ChildProcess(String name, Process process, Path logFile) {
        this.name = name;
        this.process = process;
        this.logFile = logFile;
    }

    /**
     * Starts a process.
     *
     * @param name name of the process for messages
     * @param logFile file to which its output is appended
     */
    static ChildProcess start(String name, Path binary, List<String> arguments, Path logFile) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(binary.toString());
        command.addAll(arguments);
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start();
        return new ChildProcess(name, process, logFile);
    }

    /** Returns the name of the process for messages. */
    public String name() {
        return name;
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Requests an orderly termination, as by SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Ends the process immediately, as by SIGKILL. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Waits for the end of the process and returns whether it ended within {@code timeout}. */
    public boolean awaitEnd(Duration timeout) throws InterruptedException {
        return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the exit code of a process that has ended. */
    public int exitCode() {
        return process.exitValue();
    }

    /**
     * Waits for the file that the process writes when it accepts requests, and returns its content.
     *
     * @throws IOException if the process ends or {@code timeout} expires first
     */
    String awaitReadyFile(Path readyFile, Duration timeout) throws IOException, InterruptedException {
        Waits.until(name + " is ready", timeout, POLL_INTERVAL, () -> Files.exists(readyFile) || !isAlive());
        if (!Files.exists(readyFile)) {
            throw endedEarlyException();
        }
        return Files.readString(readyFile);
    }

    /** Returns an exception for a process that ended too early, with the last lines of its log. */
    IOException endedEarlyException() throws IOException {
        List<String> lines = Files.readAllLines(logFile);
        List<String> lastLines = lines.subList(Math.max(0, lines.size() - MAX_SHOWN_LOG_LINES), lines.size());
        return new IOException("%s ended early; the last lines of its log are:%n%s"
                .formatted(name, String.join(System.lineSeparator(), lastLines)));
    }
}
