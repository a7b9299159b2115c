package org.tamarackline.standin.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.standin.StandinExchange;
import org.tamarackline.standin.StandinFailure;
import org.tamarackline.standin.StandinServer;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableResponses;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TransactionConflictException;
import org.tamarackline.store.VmEntry;

/**
 * Stand-in for the platform: an HTTP server with a table, an object store and a list of VMs in memory, and with fault
 * switches.
 *
 * <p>In addition to the platform's protocol it serves {@code GET} and {@code PUT /faults}, {@code PUT /standin/vms} and
 * {@code GET /standin/counters}, which no fault affects.
 */
public final class StandinPlatform implements AutoCloseable {

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final InMemoryTable table = new InMemoryTable();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final LaggingVmList vms;
    private final AtomicReference<PlatformFaults> faults = new AtomicReference<>(PlatformFaults.NONE);
    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder conflicts = new LongAdder();
    private final LongAdder rowsWritten = new LongAdder();
    private final LongAdder objectReads = new LongAdder();
    private final LongAdder objectWrites = new LongAdder();
    private final LongAdder vmLists = new LongAdder();
    private final StandinServer server;

    private StandinPlatform(InetSocketAddress address, List<VmEntry> initialVms) throws Exception {
        vms = new LaggingVmList(MonotonicClock.system(), initialVms);
        server = StandinServer.start(address, this::handle);
    }

    /**
     * Starts a platform.
     *
     * @param address address to listen on; port 0 selects a free port
     * @throws Exception if the address cannot be bound
     */
    public static StandinPlatform start(InetSocketAddress address, List<VmEntry> initialVms) throws Exception {
        return new StandinPlatform(address, initialVms);
    }

    /** Returns the IP address and port that the platform listens on. */
    public String address() {
        return server.address();
    }

    public String url() {
        return "http://" + address();
    }

    /** Replaces the fault switches. */
    public void setFaults(PlatformFaults newFaults) {
        faults.set(newFaults);
    }

    /** Replaces the list of VMs; readers see the change after the lag. */
    public void setVms(List<VmEntry> entries) {
        vms.replace(entries);
    }

    /** Returns the numbers of calls executed so far. */
    public PlatformCounters counters() {
        return new PlatformCounters(
                reads.sum(),
                writes.sum(),
                conflicts.sum(),
                rowsWritten.sum(),
                objectReads.sum(),
                objectWrites.sum(),
                vmLists.sum());
    }

    /** Returns up to 500 rows whose key starts with {@code prefix}, for tests; no fault affects this method. */
    public List<Row> rows(String prefix) {
        return table.scan(prefix, "", InMemoryTable.MAX_SCAN_ROWS);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void handle(StandinExchange exchange) throws Exception {
        if (handleControl(exchange)) {
            return;
        }
        PlatformFaults current = faults.get();
        if (current.delayMs() > 0) {
            Thread.sleep(current.delayMs());
        }
        if (current.silent()) {
            return;
        }
        if (current.down()) {
            exchange.respondJson(UNAVAILABLE, StandinFailure.notApplied("the platform is down"));
            return;
        }
        handleProtocol(exchange);
    }

    private boolean handleControl(StandinExchange exchange) throws IOException {
        if (exchange.matches("PUT", "/faults")) {
            setFaults(exchange.json(PlatformFaults.class));
            exchange.respondEmpty(NO_CONTENT);
        } else if (exchange.matches("GET", "/faults")) {
            exchange.respondJson(OK, faults.get());
        } else if (exchange.matches("PUT", "/standin/vms")) {
            setVms(Arrays.asList(exchange.json(VmEntry[].class)));
            exchange.respondEmpty(NO_CONTENT);
        } else if (exchange.matches("GET", "/standin/counters")) {
            exchange.respondJson(OK, counters());
        } else {
            return false;
        }
        return true;
    }

    private void handleProtocol(StandinExchange exchange) throws IOException {
        Optional<String> rowKey = exchange.pathAfter("/table/rows/");
        Optional<String> token = exchange.pathAfter("/table/tokens/");
        Optional<String> objectKey = exchange.pathAfter("/objects/");
        if (rowKey.isPresent() && exchange.method().equals("GET")) {
            reads.increment();
            respondIfPresent(exchange, table.get(rowKey.get()));
        } else if (exchange.matches("GET", "/table/scan")) {
            reads.increment();
            exchange.respondJson(OK, scan(exchange));
        } else if (exchange.matches("POST", "/table/transact")) {
            transact(exchange);
        } else if (token.isPresent() && exchange.method().equals("GET")) {
            reads.increment();
            respondIfPresent(exchange, table.outcome(token.get()).map(TableResponses.Applied::new));
        } else if (objectKey.isPresent()) {
            handleObject(exchange, objectKey.get());
        } else if (exchange.matches("GET", "/vms")) {
            vmLists.increment();
            exchange.respondJson(OK, vms.read(Duration.ofMillis(faults.get().vmListLagMs())));
        } else {
            exchange.respondJson(NOT_FOUND, StandinFailure.notApplied("no such resource"));
        }
    }

    private List<Row> scan(StandinExchange exchange) {
        int limit = Integer.parseInt(exchange.query("limit", Integer.toString(InMemoryTable.MAX_SCAN_ROWS)));
        return table.scan(exchange.query("prefix", ""), exchange.query("after", ""), limit);
    }

    private void transact(StandinExchange exchange) throws IOException {
        TableTransaction transaction = exchange.json(TableTransaction.class);
        writes.increment();
        try {
            TableResponses.Applied applied = new TableResponses.Applied(table.apply(transaction));
            rowsWritten.add(transaction.writes().size());
            if (shouldDropResponse()) {
                exchange.closeConnection();
                return;
            }
            exchange.respondJson(OK, applied);
        } catch (TransactionConflictException conflict) {
            conflicts.increment();
            exchange.respondJson(CONFLICT, new TableResponses.Conflict(conflict.key(), conflict.currentVersion()));
        }
    }

    private void handleObject(StandinExchange exchange, String key) throws IOException {
        if (exchange.method().equals("GET")) {
            objectReads.increment();
            respondBytesIfPresent(exchange, objects.get(key));
            return;
        }
        boolean isPut = exchange.method().equals("PUT");
        if (!isPut && !exchange.method().equals("DELETE")) {
            throw new IllegalArgumentException("method %s is not allowed on objects".formatted(exchange.method()));
        }
        objectWrites.increment();
        if (isPut) {
            objects.put(key, exchange.body());
        } else {
            objects.remove(key);
        }
        if (shouldDropResponse()) {
            exchange.closeConnection();
            return;
        }
        exchange.respondEmpty(NO_CONTENT);
    }

    private boolean shouldDropResponse() {
        PlatformFaults before = faults.getAndUpdate(
                current -> current.loseAnswers() > 0 ? current.withLoseAnswers(current.loseAnswers() - 1) : current);
        return before.loseAnswers() > 0;
    }

    private static void respondIfPresent(StandinExchange exchange, Optional<?> content) throws IOException {
        if (content.isPresent()) {
            exchange.respondJson(OK, content.get());
        } else {
            exchange.respondJson(NOT_FOUND, StandinFailure.notApplied("absent"));
        }
    }

    private static void respondBytesIfPresent(StandinExchange exchange, byte[] content) throws IOException {
        if (content == null) {
            exchange.respondJson(NOT_FOUND, StandinFailure.notApplied("absent"));
            return;
        }
        exchange.setHeader("Content-Type", "application/octet-stream");
        exchange.respond(OK, content);
    }
}
