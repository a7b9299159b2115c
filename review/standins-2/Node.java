import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A machine of the system: starts the node's process with the command of the deploy file, and again when it ends. */
final class Node implements AutoCloseable {

    /** Time from the end of a process until the platform starts the next one. */
    private static final long RESTART_DELAY_MS = 500;

    final String name;
    final String ip;
    final int callerPort;
    private final int readyPort;
    private final int peerPort;
    private final Path folder;
    private final Record record;
    private final List<String> command;
    private volatile Process process;
    private volatile boolean closed;
    private volatile int starts;
    private volatile int ownEnds;
    private volatile boolean stoppedByPlatform;
    private final String storeAddress;
    private int settingsNumber;

    Node(String name, String ip, int firstPort, String storeAddress, Path folder, List<String> command, Record record)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.callerPort = firstPort;
        this.readyPort = firstPort + 1;
        this.peerPort = firstPort + 2;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.storeAddress = storeAddress;
        this.command = command;
        this.record = record;
        writeSettings();
    }

    /** Reads the command of the only role in the deploy file. */
    static List<String> deployCommand(Path deployFile) throws IOException {
        for (String line : Files.readAllLines(deployFile)) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no run");
    }

    /** Writes the settings file as the platform does; a change has another number in a field that the node may ignore. */
    void writeSettings() throws IOException {
        settingsNumber++;
        String text = """
                nodeName = "%s"
                role = "node"
                machineClass = "frontend"
                serves = ["frontend"]
                ip = "%s"
                zone = "a"
                region = "r"
                internalPorts = [%d,%d]
                seeds = []
                bootstrap = %s
                faultCounted = false
                discovery = "platform"
                entry = "vip"
                heartbeatMs = 1500
                contracts = ["base","drain","config","cost","recover","sched","platform"]
                orders = "call"
                settingsNumber = %d
                [zones]
                a = "r"
                [bindAddrs]
                frontend = "%s:%d"
                readiness = "%s:%d"
                [limits]
                cpuShare = 0.75
                cores = 1
                memoryMb = 430
                maxFds = 4100
                linkMbps = 1000.0
                diskMb = 0
                [bounds]
                contactMs = 3000
                ackMs = 4000
                drainMs = 2000
                graceS = 6
                configApplyMs = 2000
                holdMaxMs = 6000
                stopMs = 200
                gangMs = 3000
                cancel_ms = 3000
                visible_ms = 3000
                leaseMs = 3000
                [platform]
                address = "%s"
                form = "table"
                writesPerS = 800
                readsPerS = 2000
                txMs = 8.0
                partitionWritesS = 150
                rowBytes = 65536
                across = false
                """.formatted(
                        name, ip, peerPort, peerPort + 13, starts == 0, settingsNumber, ip, callerPort, ip, readyPort, storeAddress);
        Path next = folder.resolve("local.toml.next");
        Files.writeString(next, text);
        Files.move(next, folder.resolve("local.toml"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    synchronized void start() throws IOException {
        if (closed) {
            return;
        }
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("TAMARACKLINE_BOOT", folder.resolve("local.toml").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), "log.txt")));
        stoppedByPlatform = false;
        Process started = builder.start();
        process = started;
        starts++;
        record.line("node %s: process %d starts", name, starts);
        started.onExit().thenAccept(this::onExit);
    }

    private void onExit(Process ended) {
        if (closed) {
            return;
        }
        if (stoppedByPlatform) {
            record.line("node %s: process %d ended, as the platform asked", name, starts);
        } else {
            ownEnds++;
            record.line("node %s: process %d ended by itself with status %d", name, starts, ended.exitValue());
        }
        try {
            Thread.sleep(RESTART_DELAY_MS);
            start();
        } catch (InterruptedException | IOException failure) {
            record.line("node %s: %s", name, failure);
        }
    }

    /** Sends a signal to the process, if it is alive. */
    void signal(String signal) throws IOException, InterruptedException {
        Process current = process;
        if (current != null && current.isAlive()) {
            stoppedByPlatform |= List.of("TERM", "KILL").contains(signal);
            record.line("node %s: SIG%s to process %d", name, signal, starts);
            new ProcessBuilder("kill", "-" + signal, Long.toString(current.pid())).start().waitFor();
        }
    }

    int ownEnds() {
        return ownEnds;
    }

    int starts() {
        return starts;
    }

    boolean ready() {
        return Http.send("GET", ip + ":" + readyPort, "x", "/-/ready", null, 500).status() == 200;
    }

    /** Returns what the node says of itself, to choose which one to disturb. */
    String state() {
        return Http.send("GET", ip + ":" + peerPort, "x", "/state", null, 700).body();
    }

    String address() {
        return ip + ":" + callerPort;
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        Process current = process;
        if (current != null) {
            current.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }
}
