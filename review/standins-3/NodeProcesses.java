import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the project's nodes with the command of the deploy file, each as a process of its own. */
final class NodeProcesses implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    /** A node and its addresses. */
    record Node(String name, Process process, String host, int callerPort, int readyPort) {}

    private final Path repository;
    private final Path folder;
    private final List<Node> nodes = new ArrayList<>();

    NodeProcesses(Path repository, Path folder) {
        this.repository = repository;
        this.folder = folder;
    }

    Node start(String name, String host, String storeAddress) throws IOException {
        int callerPort = freePort(host);
        int readyPort = freePort(host);
        int internalPort = freePort(host);
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, settings(name, host, callerPort, readyPort, internalPort, storeAddress));
        Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(repository.toFile());
        builder.environment().put("TAMARACKLINE_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        Node node = new Node(name, builder.start(), host, callerPort, readyPort);
        nodes.add(node);
        return node;
    }

    List<Node> all() {
        return List.copyOf(nodes);
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    private static String settings(
            String name, String host, int callerPort, int readyPort, int internalPort, String storeAddress) {
        return """
                nodeName = "%1$s"
                role = "node"
                machineClass = "frontend"
                serves = ["frontend"]
                ip = "%2$s"
                zone = "a"
                region = "north"
                internalPorts = [%5$d,%5$d]
                seeds = []
                bootstrap = true
                faultCounted = false
                discovery = "platform"
                entry = "vip"
                heartbeatMs = 1500
                contracts = ["base","drain","config","cost","recover","sched","platform"]
                orders = "call"
                [zones]
                a = "north"
                [bindAddrs]
                frontend = "%2$s:%3$d"
                readiness = "%2$s:%4$d"
                [limits]
                cpuShare = 0.75
                cores = 1
                memoryMb = 430
                maxFds = 4100
                linkMbps = 1000.0
                diskMb = 0
                [faultTolerance]
                machines = 2
                zones = 0
                regions = 0
                [bounds]
                contactMs = 3000
                ackMs = 4000
                drainMs = 2000
                graceS = 6
                lossSlackMs = 200
                configApplyMs = 2000
                holdMaxMs = 6000
                stopMs = 200
                gangMs = 3000
                cancel_ms = 3000
                visible_ms = 3000
                finish_s = 14
                status_s = 120
                saveS = 1
                restoreMs = 100
                fencingEnforced = false
                leaseMs = 3000
                [platform]
                address = "%6$s"
                form = "table"
                writesPerS = 800
                readsPerS = 2000
                txMs = 8.0
                partitionWritesS = 150
                rowBytes = 65536
                across = false
                historyS = 20
                """
                .formatted(name, host, callerPort, readyPort, internalPort, storeAddress);
    }

    @Override
    public void close() {
        nodes.forEach(node -> node.process().destroyForcibly());
        for (Node node : nodes) {
            try {
                node.process().waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
