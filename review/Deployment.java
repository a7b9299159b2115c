import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: store, runners, nodes and a requester. */
final class Deployment implements AutoCloseable {

    static final String HOST = "shop.example";
    static final String PREFIX = "/orders/";
    static final String SERVICE = "tasselbench";

    final Recorder recorder;
    final Store store;
    final Fleet fleet;
    final Nodes nodes;
    Requester requester;
    private final Path folder;

    Deployment(Path record) throws IOException {
        recorder = new Recorder(record);
        folder = Files.createTempDirectory("review");
        store = new Store(recorder, 65_536);
        fleet = new Fleet(recorder, store);
        nodes = new Nodes(recorder, folder);
    }

    Path folder() {
        return folder;
    }

    /** A queue, and the service that runs its tasks. */
    record Queue(String name, String prefix, String service) {}

    /** Writes the configuration with one queue and starts the nodes; waits until they take requests. */
    void start(int nodeCount, int maxAttempts) throws IOException, InterruptedException {
        start(nodeCount, maxAttempts, List.of(new Queue("orders", PREFIX, SERVICE)));
    }

    /** Writes a configuration and starts the nodes; waits until they take requests. */
    void start(int nodeCount, int maxAttempts, List<Queue> queues) throws IOException, InterruptedException {
        configure(3, maxAttempts, queues);
        startNodes(nodeCount);
    }

    /** Writes a version of the configuration, as the operator does. */
    void configure(int version, int maxAttempts, List<Queue> queues) {
        ObjectNode configuration = Http.JSON.createObjectNode();
        configuration.put("version", version);
        ArrayNode routes = configuration.putArray("routes");
        for (Queue queue : queues) {
            routes.addObject()
                    .put("name", queue.name())
                    .put("host", HOST)
                    .put("prefix", queue.prefix())
                    .put("service", queue.service())
                    .put("kind", "non_idempotent")
                    .put("timeoutMs", 3_000)
                    .put("priority", 1)
                    .put("maxAttempts", maxAttempts)
                    .put("stretch", 2.0)
                    .put("targetLatencyMs", 1_000);
        }
        ArrayNode services = configuration.putArray("services");
        for (String service : queues.stream().map(Queue::service).distinct().toList()) {
            services.addObject()
                    .put("name", service)
                    .put("healthPath", "/health")
                    .put("maxConns", 64)
                    .put("protocol", "h1")
                    .put("tls", false)
                    .put("admissionCheck", true)
                    .put("standby", false);
        }
        configuration
                .putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 262_144)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        store.write("op", "config", configuration);
        recorder.line("operator: configuration %d, %s", version, queues);
    }

    private void startNodes(int nodeCount) throws IOException, InterruptedException {
        nodes.start(nodeCount, store.address());
        requester = new Requester(recorder, nodes.callerAddresses());
        for (int node = 0; node < nodeCount; node++) {
            long endNanos = System.nanoTime() + 20_000_000_000L;
            while (requester.send(node, "GET", HOST, PREFIX, null).status() != 200) {
                if (System.nanoTime() > endNanos) {
                    throw new IOException("node " + node + " does not get ready");
                }
                Thread.sleep(300);
            }
        }
    }

    static String id(int number) {
        return String.format("%016x", 0x7a31_0000_0000L + number);
    }

    static ObjectNode job() {
        ObjectNode job = Http.JSON.createObjectNode().put("spec", "review");
        job.putArray("steps");
        return job;
    }

    static ObjectNode addStep(ObjectNode job, int count, int cpu, long estMs) {
        return ((ArrayNode) job.path("steps"))
                .addObject()
                .put("count", count)
                .put("cpu", cpu)
                .put("memMb", 64)
                .put("estMs", estMs);
    }

    @Override
    public void close() throws IOException {
        nodes.close();
        recorder.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }
}
