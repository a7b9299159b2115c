package org.tamarackline.standin.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;

import org.tamarackline.standin.StandinExchange;
import org.tamarackline.standin.StandinFailure;
import org.tamarackline.standin.StandinServer;

/**
 * Stand-in for an upstream (a runner of a service): an HTTP server that echoes requests, with fault switches.
 *
 * <p>The response to a request on any path is the request body, or the request id if there is no body. No fault affects
 * {@code PUT /standin/faults} and {@code GET /standin/history}.
 */
public final class StandinUpstream implements AutoCloseable {

    /** Header with the caller's request id, echoed in the response. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** Header with the service time of the request, in milliseconds. */
    public static final String WORK_HEADER = "X-Work-Ms";

    private static final String LEAVING_HEADER = "Tamarackline-Leaving";
    private static final int MAX_PERCENT = 100;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final UpstreamOptions options;
    private final Map<String, Integer> requests = new ConcurrentHashMap<>();
    private final LongAdder total = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final LongAdder overloads = new LongAdder();
    private final AtomicInteger inService = new AtomicInteger();
    private final AtomicInteger highestConcurrency = new AtomicInteger();
    private final AtomicReference<UpstreamFaults> faults = new AtomicReference<>(UpstreamFaults.NONE);
    private final StandinServer server;

    private StandinUpstream(UpstreamOptions options) throws Exception {
        this.options = options;
        server = StandinServer.start(options.address(), this::handle);
    }

    /**
     * Starts an upstream.
     *
     * @throws Exception if the address cannot be bound
     */
    public static StandinUpstream start(UpstreamOptions options) throws Exception {
        return new StandinUpstream(options);
    }

    /** Returns the IP address and port that the upstream listens on. */
    public String address() {
        return server.address();
    }

    /** Replaces the fault switches. */
    public void setFaults(UpstreamFaults newFaults) {
        faults.set(newFaults);
    }

    /** Returns the requests received so far. */
    public UpstreamHistory history() {
        return new UpstreamHistory(
                new TreeMap<>(requests), total.sum(), answered.sum(), highestConcurrency.get(), overloads.sum());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void handle(StandinExchange exchange) throws Exception {
        if (exchange.matches("PUT", "/standin/faults")) {
            setFaults(exchange.json(UpstreamFaults.class));
            exchange.respondEmpty(NO_CONTENT);
        } else if (exchange.matches("GET", "/standin/history")) {
            exchange.respondJson(OK, history());
        } else if (faults.get().leaving()) {
            exchange.setHeader(LEAVING_HEADER, "true");
            exchange.respondJson(UNAVAILABLE, StandinFailure.notApplied("the runner is leaving"));
        } else {
            serve(exchange);
        }
    }

    private void serve(StandinExchange exchange) throws Exception {
        Optional<String> requestId = exchange.header(REQUEST_ID_HEADER);
        total.increment();
        requestId.ifPresent(id -> requests.merge(id, 1, Integer::sum));
        countConcurrency();
        try {
            byte[] body = exchange.body();
            UpstreamFaults current = faults.get();
            Thread.sleep(serviceMs(exchange) + current.delayMs());
            if (current.silent()) {
                return;
            }
            requestId.ifPresent(id -> exchange.setHeader(REQUEST_ID_HEADER, id));
            respond(exchange, current, body.length > 0 ? body : encodeRequestId(requestId));
        } finally {
            inService.decrementAndGet();
        }
    }

    private void respond(StandinExchange exchange, UpstreamFaults current, byte[] content) {
        if (ThreadLocalRandom.current().nextInt(MAX_PERCENT) < current.failPercent()) {
            exchange.respond(SERVER_ERROR, content);
        } else if (current.dieInBody()) {
            exchange.respondTruncated(OK, content);
        } else {
            answered.increment();
            exchange.respond(OK, content);
        }
    }

    private void countConcurrency() {
        int concurrency = inService.incrementAndGet();
        highestConcurrency.accumulateAndGet(concurrency, Math::max);
        if (concurrency > options.slots()) {
            overloads.increment();
        }
    }

    private long serviceMs(StandinExchange exchange) {
        return exchange.header(WORK_HEADER)
                .map(Long::parseLong)
                .orElse(options.serviceTime().toMillis());
    }

    private static byte[] encodeRequestId(Optional<String> requestId) {
        return requestId.orElse("").getBytes(StandardCharsets.UTF_8);
    }
}
