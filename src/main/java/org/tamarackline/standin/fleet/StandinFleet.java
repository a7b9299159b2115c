package org.tamarackline.standin.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tamarackline.http.HttpExchange;
import org.tamarackline.http.HttpListener;
import org.tamarackline.http.HttpStartException;
import org.tamarackline.load.PortReservations;

/**
 * Stand-in for the platform of a fleet: a store and runners on loopback addresses, for tests and for the rehearsal of a
 * node's start.
 */
public final class StandinFleet implements AutoCloseable {

    static final int MAX_BODY_BYTES = 2 * 1024 * 1024;
    static final long IDLE_TIMEOUT_MS = 60_000;

    private static final Duration DIRECTORY_INTERVAL = Duration.ofMillis(25);
    private static final PortReservations PORTS = new PortReservations();

    /** Host of the only queue in the configuration. */
    public static final String QUEUE_HOST = "queue.example";
    /** Path prefix of the only queue in the configuration. */
    public static final String QUEUE_PATH_PREFIX = "/work/";

    /** Spec of jobs whose tasks run until they are stopped. */
    public static final String LONG_RUNNING_SPEC = "long-running";
    /** Start of the spec of jobs whose tasks take the number of milliseconds that follows. */
    public static final String TIMED_SPEC_PREFIX = "work ";

    private final ObjectMapper mapper = new ObjectMapper();
    private final StandinStore store = new StandinStore();
    private final List<StandinRunnerHost> runners = new ArrayList<>();
    private final HttpListener listener = new HttpListener(MAX_BODY_BYTES);
    private final ExecutorService requestExecutor = Executors.newVirtualThreadPerTaskExecutor();
    private final SilentConnections silentStoreConnections = new SilentConnections();
    private final String storeAddress;
    private volatile boolean storeDown;
    private volatile Duration storeDelay = Duration.ZERO;

    /**
     * Starts a store that contains a configuration and the descriptors of the runners, and starts the runners.
     *
     * @param runnerCount number of runners
     * @param taskMs duration in milliseconds of tasks whose spec states none
     */
    public StandinFleet(int runnerCount, long taskMs) throws IOException, HttpStartException {
        this(runnerCount, taskMs, RunObserver.NONE);
    }

    /**
     * Same as {@link #StandinFleet(int, long)}, with an observer of all runs.
     *
     * @param observer is called while a runner is locked, so it must not call the fleet
     */
    public StandinFleet(int runnerCount, long taskMs, RunObserver observer) throws IOException, HttpStartException {
        InetSocketAddress storeSocketAddress = reserveAddress();
        storeAddress = hostAndPort(storeSocketAddress);
        listener.add(
                storeSocketAddress,
                IDLE_TIMEOUT_MS,
                silentStoreConnections.guard(exchange -> requestExecutor.execute(() -> handleStoreRequest(exchange))));
        for (int i = 0; i < runnerCount; i++) {
            StandinRunnerHost runner = new StandinRunnerHost(i, reserveAddress(), taskMs, observer, requestExecutor);
            runners.add(runner);
            runner.startProcess();
            writeDescriptor(runner);
        }
        store.write("op", "config", encodeBase64(configuration()));
        listener.start();
        requestExecutor.execute(this::maintainDirectory);
    }

    /** Returns the runners, whether or not their processes are up. */
    public List<StandinRunnerHost> runners() {
        return List.copyOf(runners);
    }

    /** Writes and removes the directory entries of runners as their processes start and end, until the fleet is closed. */
    private void maintainDirectory() {
        try {
            while (true) {
                Thread.sleep(DIRECTORY_INTERVAL);
                for (StandinRunnerHost runner : runners) {
                    runner.advance();
                    maintainEntry(runner);
                }
            }
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }

    private void maintainEntry(StandinRunnerHost runner) {
        StandinRunnerHost.DirectoryChange change = runner.dueDirectoryChange();
        if (change == StandinRunnerHost.DirectoryChange.WRITE) {
            writeDescriptor(runner);
        } else if (change == StandinRunnerHost.DirectoryChange.REMOVE) {
            store.remove("servers", runner.id());
        }
    }

    private void writeDescriptor(StandinRunnerHost runner) {
        store.write("servers", runner.id(), encodeBase64(runnerDescriptor(runner)));
        runner.onRegistered();
    }

    private static String encodeBase64(JsonNode document) {
        return Base64.getEncoder().encodeToString(document.toString().getBytes(StandardCharsets.UTF_8));
    }

    private ObjectNode runnerDescriptor(StandinRunnerHost runner) {
        ObjectNode descriptor = mapper.createObjectNode();
        descriptor
                .put("service", "dispatch")
                .put("address", hostAndPort(runner.address()))
                .put("zone", "a")
                .put("state", "ready");
        descriptor.put("born", runner.bornEpochMs());
        descriptor.putObject("capacity").put("cpu", 16_000).put("memMb", 64_000).put("gpu", 0);
        descriptor.putArray("labels").add("a").add("r1-1");
        return descriptor;
    }

    private ObjectNode configuration() {
        ObjectNode configuration = mapper.createObjectNode().put("version", 3);
        ObjectNode route = configuration.putArray("routes").addObject();
        route.put("name", "queue")
                .put("host", QUEUE_HOST)
                .put("prefix", QUEUE_PATH_PREFIX)
                .put("service", "dispatch");
        route.put("priority", 0).put("maxAttempts", 3).put("stretch", 2.0).put("targetLatencyMs", 1_000);
        return configuration;
    }

    /** Returns the host and port of the store. */
    public String storeAddress() {
        return storeAddress;
    }

    /** Writes an entry into the directory of runners, as another writer may do. */
    public void writeDirectoryEntry(String key, byte[] value) {
        store.write("servers", key, Base64.getEncoder().encodeToString(value));
    }

    /** Replaces a record of the fleet's nodes, as another writer may do. */
    public void writeFleetRecord(String table, String key, byte[] value) {
        store.write(table, "0", key, Base64.getEncoder().encodeToString(value));
    }

    /** Sets whether the store responds to every request with status 503. */
    public void setStoreDown(boolean down) {
        storeDown = down;
    }

    /** Sets the time by which the store delays its responses to transactions, which take effect at once. */
    public void setStoreDelay(Duration delay) {
        storeDelay = delay;
    }

    /**
     * Makes open connections to the store silent for good; new ones work.
     *
     * @param share probability for each connection, from 0 to 1
     */
    public void silenceStoreConnections(double share, RandomGenerator random) {
        silentStoreConnections.silence(share, random);
    }

    /** Returns the keys of all rows that were ever written to the store. */
    public Set<String> writtenKeys() {
        return store.writtenKeys();
    }

    /** Returns the number of starts of each task on all runners. */
    public Map<String, Integer> startCounts() {
        Map<String, Integer> counts = new HashMap<>();
        for (StandinRunnerHost runner : runners) {
            runner.startedTasks().forEach(task -> counts.merge(task, 1, Integer::sum));
        }
        return counts;
    }

    /** Returns a loopback address whose port stays reserved for this process. */
    public static InetSocketAddress reserveAddress() throws IOException {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), PORTS.reserve());
    }

    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void handleStoreRequest(HttpExchange exchange) {
        try {
            if (storeDown) {
                respond(exchange, 503, mapper.createObjectNode());
                return;
            }
            Map<String, String> query = exchange.query();
            switch (exchange.path()) {
                case "/-/rows-tx" -> transact(exchange);
                case "/-/rows-get" ->
                    respond(
                            exchange,
                            200,
                            store.read(
                                    query.get("table"),
                                    query.getOrDefault("part", ""),
                                    query.getOrDefault("from", ""),
                                    query.getOrDefault("target", "")));
                case "/-/rows-feed" ->
                    respond(
                            exchange,
                            200,
                            store.awaitChanges(
                                    query.get("table"),
                                    Long.parseLong(query.get("after")),
                                    Long.parseLong(query.get("waitMs"))));
                default -> respond(exchange, 404, mapper.createObjectNode());
            }
        } catch (IOException | InterruptedException failure) {
            respond(exchange, 400, mapper.createObjectNode().put("error", failure.toString()));
        }
    }

    private void transact(HttpExchange exchange) throws IOException, InterruptedException {
        JsonNode transaction = mapper.readTree(exchange.body());
        if (!StandinStore.withinLimits(transaction, exchange.body().length)) {
            respond(exchange, 400, mapper.createObjectNode());
            return;
        }
        StandinStore.TransactionResult result = store.transact(transaction);
        Thread.sleep(storeDelay);
        respond(exchange, result.applied() ? 200 : 412, result.response());
    }

    static void respond(HttpExchange exchange, int status, JsonNode body) {
        exchange.respond(status, Map.of(), body.toString().getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        listener.stop();
        requestExecutor.shutdownNow();
        runners.forEach(StandinRunnerHost::endProcess);
    }
}
