import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's nodes, as separate processes with the command of the deploy file. */
final class Nodes implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final Recorder recorder;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final List<String> callerAddresses = new ArrayList<>();

    Nodes(Recorder recorder, Path folder) {
        this.recorder = recorder;
        this.folder = folder;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts nodes with the settings of a small deployment; the bounds are those of lianhua-tassel. */
    void start(int count, String storeAddress) throws IOException {
        Matcher matcher = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        for (int i = 0; i < count; i++) {
            int callerPort = Http.freePort();
            int peerPort = Http.freePort();
            Path settings = folder.resolve("node-" + i + ".toml");
            Files.writeString(
                    settings,
                    """
                    nodeName = "frontend-tw-north-a-%1$d"
                    role = "node"
                    machineClass = "frontend"
                    serves = ["frontend"]
                    ip = "127.0.0.1"
                    zone = "tw-north-a"
                    region = "tw-north"
                    internalPorts = [%2$d,%2$d]
                    seeds = []
                    bootstrap = true
                    heartbeatMs = 1500
                    orders = "call"
                    [bindAddrs]
                    frontend = "127.0.0.1:%3$d"
                    readiness = "127.0.0.1:%4$d"
                    [limits]
                    cpuShare = 0.75
                    cores = 1
                    memoryMb = 430
                    maxFds = 4100
                    [bounds]
                    contactMs = 3000
                    graceS = 6
                    holdMaxMs = 6000
                    [platform]
                    address = "%5$s"
                    form = "table"
                    rowBytes = 65536
                    """
                            .formatted(i + 1, peerPort, callerPort, Http.freePort(), storeAddress));
            ProcessBuilder builder = new ProcessBuilder(matcher.group(1).split(" "));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("TAMARACKLINE_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve("node-" + i + ".log").toFile());
            processes.add(builder.start());
            callerAddresses.add("127.0.0.1:" + callerPort);
        }
        recorder.line("%d nodes started", count);
    }

    List<String> callerAddresses() {
        return callerAddresses;
    }

    /** Sends a signal such as STOP or CONT to a node. */
    void signal(int node, String name) throws IOException, InterruptedException {
        recorder.line("node %d: SIG%s", node, name);
        int status = new ProcessBuilder("sh", "-c", "kill -" + name + " " + processes.get(node).pid())
                .start()
                .waitFor();
        if (status != 0) {
            throw new IOException("signal " + name + " could not be sent");
        }
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
