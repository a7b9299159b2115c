package org.tamarackline.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.fleet.DecisionLog;
import org.tamarackline.fleet.FleetNode;
import org.tamarackline.fleet.FleetNodeMetrics;
import org.tamarackline.fleet.NodeServices;
import org.tamarackline.fleet.SingleThreadLoop;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpExchange;
import org.tamarackline.http.HttpListener;
import org.tamarackline.http.HttpStartException;
import org.tamarackline.logging.LineSink;

/**
 * Runs a {@link FleetNode} as a process of the platform: connects it to the platform's store and runners, listens for
 * callers, readiness checks and other nodes, and follows changes of the settings file.
 */
public final class PlatformNode {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_BODY_BYTES = 262_144;
    private static final long CALLER_IDLE_TIMEOUT_MS = 15_000;
    private static final long PEER_IDLE_TIMEOUT_MS = 30_000;
    private static final int STORE_CONNECTIONS_PER_ADDRESS = 48;
    private static final int RUNNER_CONNECTIONS_PER_ADDRESS = 8;

    /** Time after which the load balancer has noticed that a node is not ready: two checks, one per second. */
    private static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(2_600);

    /** Fraction of the drain time for the transfer of the responses to requests that were not finished in time. */
    private static final int LAST_RESPONSES_DIVISOR = 10;

    private static final Duration SETTINGS_CHECK_INTERVAL = Duration.ofSeconds(2);

    private final Path settingsFile;
    private final SingleThreadLoop loop;
    private final LineSink sink;
    private final DecisionLog decisionLog;
    private final AsyncHttpClient storeHttp;
    private final AsyncHttpClient runnerHttp;
    private final StoreClient store;
    private final FleetNode node;
    private final HttpListener listener;
    private final InetSocketAddress callerAddress;
    private final Duration drainTime;
    private PlatformSettings settings;
    private FileTime settingsModifiedTime;

    private PlatformNode(Path settingsFile, PlatformSettings settings, LineSink sink, InstantSource timeOfDay)
            throws HttpStartException {
        this.settingsFile = settingsFile;
        this.settings = settings;
        this.sink = sink;
        this.loop = new SingleThreadLoop("node");
        this.decisionLog =
                new DecisionLog(sink, timeOfDay, loop, settings.node().node());
        this.storeHttp = new AsyncHttpClient(STORE_CONNECTIONS_PER_ADDRESS);
        this.runnerHttp = new AsyncHttpClient(RUNNER_CONNECTIONS_PER_ADDRESS);
        this.store = new StoreClient(storeHttp, loop, decisionLog, settings.storeAddress());
        FleetNodeMetrics metrics = new FleetNodeMetrics(loop);
        NodeServices services = new NodeServices(
                loop, store, new RunnerClient(runnerHttp, loop), store, timeOfDay, decisionLog, metrics);
        this.node = new FleetNode(
                services,
                new ConfigurationDecoder(),
                storeHttp,
                metrics::text,
                settings.node(),
                new SecureRandom().nextLong());
        this.listener = new HttpListener(MAX_BODY_BYTES);
        this.callerAddress = settings.callerAddress();
        this.drainTime = settings.drainTime();
        listener.add(callerAddress, CALLER_IDLE_TIMEOUT_MS, new CallerRequestHandler(node, metrics, timeOfDay));
        listener.add(settings.readinessAddress(), CALLER_IDLE_TIMEOUT_MS, this::respondReadiness);
        listener.add(settings.peerAddress(), PEER_IDLE_TIMEOUT_MS, node.peerHandler());
    }

    /** Returns the path of the settings file, which the platform passes in an environment variable. */
    public static Path settingsFile() throws PlatformSettingsException {
        String path = System.getenv(SettingsReader.PATH_VARIABLE);
        if (path == null) {
            throw new PlatformSettingsException(
                    "environment variable %s is not set; it must contain the path of the settings file"
                            .formatted(SettingsReader.PATH_VARIABLE));
        }
        return Path.of(path);
    }

    /**
     * Reads the settings and starts the node.
     *
     * @param sink destination of the log lines
     * @throws PlatformSettingsException if the settings file cannot be read or is not valid
     * @throws HttpStartException if an address cannot be bound
     */
    public static PlatformNode start(Path settingsFile, LineSink sink, InstantSource timeOfDay)
            throws PlatformSettingsException, HttpStartException {
        PlatformNode platformNode = new PlatformNode(settingsFile, SettingsReader.read(settingsFile), sink, timeOfDay);
        platformNode.decisionLog.process("node-start", platformNode.settings.toString());
        platformNode.listener.start();
        platformNode.node.start();
        platformNode.settingsModifiedTime = platformNode.readModifiedTime();
        platformNode.loop.schedule(SETTINGS_CHECK_INTERVAL, platformNode::reloadModifiedSettings);
        return platformNode;
    }

    private void respondReadiness(HttpExchange exchange) {
        exchange.respond(node.ready() ? 200 : 503, Map.of(), new byte[0]);
    }

    /**
     * Reads the settings file again and applies its store address; other changes take effect at the next start. Keeps the
     * current settings if the file is not valid.
     */
    public void reload() {
        loop.execute(this::reloadSettings);
    }

    private void reloadSettings() {
        settingsModifiedTime = readModifiedTime();
        try {
            PlatformSettings newSettings = SettingsReader.read(settingsFile);
            decisionLog.process("settings-read", newSettings.equals(settings) ? "unchanged" : newSettings.toString());
            settings = newSettings;
            store.setAddress(newSettings.storeAddress());
        } catch (PlatformSettingsException invalid) {
            decisionLog.process("settings-rejected", invalid.getMessage());
        }
    }

    private void reloadModifiedSettings() {
        if (!readModifiedTime().equals(settingsModifiedTime)) {
            reloadSettings();
        }
        loop.schedule(SETTINGS_CHECK_INTERVAL, this::reloadModifiedSettings);
    }

    private FileTime readModifiedTime() {
        try {
            return Files.getLastModifiedTime(settingsFile);
        } catch (IOException failure) {
            LOGGER.atWarning().withCause(failure).log(
                    "the modification time of the settings file cannot be read; trying again at the next check");
            return settingsModifiedTime == null ? FileTime.fromMillis(0) : settingsModifiedTime;
        }
    }

    /** Closes all connections and threads immediately, as a crash of the machine would. */
    public void kill() {
        loop.close();
        listener.stop();
        storeHttp.close();
        runnerHttp.close();
    }

    /**
     * Prepares the end of the process: reports the node as not ready, resigns if it leads, serves requests until the
     * load balancer has noticed, reads no more requests, and waits for the requests in flight. Ends within the drain time
     * of the settings.
     */
    public void drain() {
        long startNanos = System.nanoTime();
        long servingEndNanos = startNanos + servingTime().toNanos();
        decisionLog.process("node-drain", "inFlight=" + listener.inFlight());
        CountDownLatch drained = new CountDownLatch(1);
        listener.closeConnectionsAfterResponses();
        node.drain(drained::countDown);
        try {
            // Also true if this node did not lead.
            boolean resigned = drained.await(servingEndNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            Thread.sleep(untilNanos(servingEndNanos));
            int unfinished = finishCallerRequests(startNanos + drainTime.toNanos());
            decisionLog.process("node-stop", "resigned=%s inFlight=%d".formatted(resigned, unfinished));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        sink.flush();
    }

    /** Returns the time for which requests are read after the stop signal; shorter if the platform kills early. */
    private Duration servingTime() {
        Duration limit = drainTime.multipliedBy(3).dividedBy(5);
        return limit.compareTo(LOAD_BALANCER_DELAY) < 0 ? limit : LOAD_BALANCER_DELAY;
    }

    private static Duration untilNanos(long endNanos) {
        return Duration.ofNanos(Math.max(0, endNanos - System.nanoTime()));
    }

    /**
     * Reads no more requests of callers than those that have arrived and waits for their responses. Callers that send
     * requests until the process is gone find their connections closed instead of losing a request that was read.
     *
     * @return number of requests that were not finished in time and got a response of status 504
     */
    private int finishCallerRequests(long endNanos) throws InterruptedException {
        listener.stopReading(callerAddress);
        Duration lastResponsesTime = drainTime.dividedBy(LAST_RESPONSES_DIVISOR);
        if (listener.awaitConnectionsClosed(callerAddress, untilNanos(endNanos - lastResponsesTime.toNanos()))) {
            return 0;
        }
        int unfinished = listener.inFlight();
        byte[] content = Json.encodeObject(
                json -> json.writeStringField("error", "the node stops; repeat the request with the same identifier"));
        listener.respondToUnanswered(504, content);
        listener.awaitConnectionsClosed(callerAddress, untilNanos(endNanos));
        return unfinished;
    }
}
