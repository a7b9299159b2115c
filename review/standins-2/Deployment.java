import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** A small deployment: a store, runners, and nodes that run the project's program. */
final class Deployment implements AutoCloseable {

    static final String HOST = "queue.example";

    final Record record;
    final Store store = new Store();
    final List<Runner> runners = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    final Path folder;
    final Jobs jobs = new Jobs();

    private final ObjectMapper mapper = new ObjectMapper();
    private final int net;
    private final int port;
    private final Web storeWeb;
    private int version = 3;

    Deployment(Record record, int nodeCount) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-");
        this.net = 20 + new Random().nextInt(200);
        this.port = freePort("127." + net + ".0.10");
        this.storeWeb = new Web("127." + net + ".1.1", port, store::handle);
        List<String> command = Node.deployCommand(Path.of("deploy/system.toml"));
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node("node-" + i, "127." + net + ".0." + (10 + i), port, "127." + net + ".1.1:" + port, folder, command, record));
        }
        endNodesAtExit();
    }

    /** Ends the nodes' processes also if this process is told to end. */
    private void endNodesAtExit() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            for (Node node : nodes) {
                try {
                    node.close();
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }));
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            // The ports after it are used too; those that the system hands out are above 30000.
            return 10_000 + socket.getLocalPort() % 10_000;
        }
    }

    Runner addRunner(String rack, Runner.Kind kind, Runner.Observer observer) throws IOException {
        int number = runners.size();
        Runner runner = new Runner(
                "runner-" + number + "-" + Integer.toHexString(number * 7919 + 4242),
                "127." + net + ".2." + (10 + number),
                port,
                rack,
                store,
                jobs,
                observer);
        runners.add(runner);
        runner.start(kind);
        return runner;
    }

    /** Writes the next configuration with one queue. */
    void configure(int maxAttempts, boolean admissionCheck) {
        ObjectNode config = mapper.createObjectNode().put("version", version += 2);
        ArrayNode routes = config.putArray("routes");
        routes.addObject().put("name", "queue").put("host", HOST).put("prefix", "/jobs/").put("service", "dispatch")
                .put("priority", 0).put("maxAttempts", maxAttempts).put("stretch", 2.0).put("targetLatencyMs", 1_000);
        config.putArray("services").addObject().put("name", "dispatch").put("admissionCheck", admissionCheck);
        config.putObject("limits");
        store.write("op", "config", config.toString().getBytes(StandardCharsets.UTF_8));
    }

    void startNodes() throws IOException, InterruptedException {
        for (Node node : nodes) {
            node.start();
        }
    }

    /** Waits until all nodes are ready. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < end) {
            if (nodes.stream().allMatch(Node::ready)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the node that leads, or the first one if none says so. */
    Node leader() {
        for (Node node : nodes) {
            if (node.state().contains("\"epoch\"")) {
                return node;
            }
        }
        return nodes.getFirst();
    }

    /** Sends a request of a requester and records the answer. */
    Http.Answer request(Node node, String method, String job, String body) {
        Http.Answer answer = Http.send(method, node.address(), HOST, "/jobs/" + job, body, 3_000);
        record.line("requester: %s %s at %s: %d %s", method, job, node.name, answer.status(), method.equals("GET") ? answer.body() : "");
        return answer;
    }

    @Override
    public void close() throws Exception {
        for (Node node : nodes) {
            node.close();
        }
        runners.forEach(Runner::crash);
        storeWeb.close();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
