package org.tamarackline.process.soak;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.tamarackline.standin.fleet.NodeSettingsText;
import org.tamarackline.standin.fleet.StandinFleet;

/** A node of the fleet, as a process with the settings of {@code deploy/system.toml} that can be started repeatedly. */
final class NodeProcess {

    private static final Path RUNTIME = Path.of("target", "runtime", "bin", "java");
    private static final Path ARCHIVE = Path.of("target", "serve.jsa");
    private static final Path JAR = Path.of("target", "tamarackline-0.1.0-all.jar");
    private static final Duration SIGNAL_TIMEOUT = Duration.ofSeconds(5);

    private final String name;
    private final Path directory;
    private final NodeSettingsText settings;
    private final NodeLogs logs;
    private Process process;
    private boolean suspended;

    NodeProcess(int index, Path directory, String storeAddress, NodeLogs logs) throws IOException {
        this.name = "node-" + index;
        this.directory = directory;
        this.logs = logs;
        this.settings = new NodeSettingsText(
                name,
                StandinFleet.reserveAddress(),
                StandinFleet.reserveAddress(),
                StandinFleet.reserveAddress(),
                storeAddress);
    }

    String name() {
        return name;
    }

    InetSocketAddress callerAddress() {
        return settings.callerAddress();
    }

    /** Starts the process unless it is alive. */
    synchronized void start(double cpuShare) throws IOException {
        if (process != null && process.isAlive()) {
            return;
        }
        Path settingsFile = directory.resolve(name + ".toml");
        Files.writeString(settingsFile, settings.text(cpuShare));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("TAMARACKLINE_BOOT", settingsFile.toString());
        builder.redirectErrorStream(true);
        suspended = false;
        process = builder.start();
        Process started = process;
        Thread.ofPlatform().daemon().name(name + "-log").start(() -> copyLog(started));
    }

    private static List<String> command() {
        List<String> command = new ArrayList<>();
        if (Files.exists(RUNTIME) && Files.exists(ARCHIVE)) {
            command.add(RUNTIME.toString());
            command.add("-XX:SharedArchiveFile=" + ARCHIVE);
        } else {
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        }
        command.addAll(List.of(
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                JAR.toString(),
                "org.tamarackline.cli.Main",
                "serve"));
        return command;
    }

    private void copyLog(Process source) {
        Path file = directory.resolve(name + ".log");
        try (BufferedReader reader = source.inputReader(StandardCharsets.UTF_8);
                BufferedWriter writer =
                        Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                writer.write(line);
                writer.newLine();
                logs.add(line);
            }
        } catch (IOException failure) {
            throw new UncheckedIOException("log of %s could not be copied".formatted(name), failure);
        }
    }

    synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    /** Returns whether the process is alive and not suspended. */
    synchronized boolean running() {
        return alive() && !suspended;
    }

    /** Sends SIGKILL and waits until the process has ended. */
    synchronized void kill() throws IOException, InterruptedException {
        if (alive()) {
            signal("-KILL", process);
            process.waitFor();
        }
    }

    /** Sends SIGTERM, and SIGKILL if the process has not ended after a time. Returns when it has ended. */
    void terminate(Duration grace) throws IOException, InterruptedException {
        Process ending = currentProcess();
        signal("-TERM", ending);
        if (!ending.waitFor(grace.toMillis(), TimeUnit.MILLISECONDS)) {
            signal("-KILL", ending);
            ending.waitFor();
        }
    }

    private synchronized Process currentProcess() {
        return process;
    }

    synchronized void suspend() throws IOException, InterruptedException {
        signal("-STOP", process);
        suspended = true;
    }

    /** Resumes the process if it is still there. */
    synchronized void resume() throws IOException, InterruptedException {
        if (suspended && process.isAlive()) {
            signal("-CONT", process);
        }
        suspended = false;
    }

    /** Sends a signal with a program, because {@link Process#destroy} would close the process's output. */
    private void signal(String signal, Process target) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", signal, Long.toString(target.pid())).start();
        boolean sent = kill.waitFor(SIGNAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS) && kill.exitValue() == 0;
        if (!sent && target.isAlive()) {
            throw new IOException("signal %s could not be sent to %s".formatted(signal, name));
        }
    }
}
