package org.tamarackline.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** An HTTP server that listens on several addresses and passes complete requests to the handler of the address. */
public final class HttpListener {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 4;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final Duration CLOSE_CHECK_INTERVAL = Duration.ofMillis(10);

    private final Server server;
    private final int maxBodyBytes;
    private final List<DrainableConnector> connectors = new ArrayList<>();
    private final Set<JettyExchange> unanswered = ConcurrentHashMap.newKeySet();
    private volatile boolean closeAfterResponse;

    /**
     * Creates a listener without addresses.
     *
     * @param maxBodyBytes maximum length of a request body; a longer one is refused with status 413
     */
    public HttpListener(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("http");
        threads.setDaemon(true);
        server = new Server(threads, new ScheduledExecutorScheduler("http-timer", true), null);
        server.setStopTimeout(0);
        server.setHandler(new Dispatcher());
    }

    /**
     * Adds an address and its handler.
     *
     * @param idleMs time after which an idle connection is closed
     */
    public void add(InetSocketAddress address, long idleMs, Consumer<HttpExchange> handler) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        DrainableConnector connector =
                new DrainableConnector(server, new HttpConnectionFactory(configuration), address, handler);
        connector.setIdleTimeout(idleMs);
        connector.setReuseAddress(true);
        connectors.add(connector);
        server.addConnector(connector);
    }

    /**
     * Opens all addresses.
     *
     * @throws HttpStartException if an address cannot be opened
     */
    public void start() throws HttpStartException {
        try {
            server.start();
        } catch (Exception failure) {
            throw new HttpStartException(
                    "could not start the HTTP listener: %s".formatted(failure.getMessage()), failure);
        }
    }

    /** Sends {@code Connection: close} with each further response. */
    public void closeConnectionsAfterResponses() {
        closeAfterResponse = true;
    }

    /** Returns the number of requests that were read completely and have not been responded to. */
    public int inFlight() {
        return unanswered.size();
    }

    /**
     * Closes an address to new connections and reads from open ones only what has arrived. Idle connections close at once; a
     * connection whose request was read completely closes after its response, if {@link #closeConnectionsAfterResponses} was
     * called. Returns when clients can no longer connect.
     */
    public void stopReading(InetSocketAddress address) throws InterruptedException {
        try {
            connector(address).stopReading();
        } catch (IOException failure) {
            LOGGER.atWarning().withCause(failure).log("%s is not closed to new connections yet", address);
        }
    }

    /**
     * Waits until an address to which {@link #stopReading} was applied has no open connection.
     *
     * @return whether all connections closed before the timeout
     */
    public boolean awaitConnectionsClosed(InetSocketAddress address, Duration timeout) throws InterruptedException {
        DrainableConnector connector = connector(address);
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        connector.closeIdleConnections();
        while (connector.hasConnections()) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                return false;
            }
            Thread.sleep(CLOSE_CHECK_INTERVAL);
            connector.closeIdleConnections();
        }
        return true;
    }

    private DrainableConnector connector(InetSocketAddress address) {
        return connectors.stream()
                .filter(connector -> connector.address().equals(address))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("%s was not added".formatted(address)));
    }

    /**
     * Responds to all requests in flight; responses that their handlers send later are ignored. An address to which
     * {@link #stopReading} was applied reads no further request, not even one that has arrived.
     */
    public void respondToUnanswered(int status, byte[] content) {
        connectors.forEach(DrainableConnector::discardArrived);
        unanswered.forEach(exchange -> exchange.abandon(status, content));
    }

    /** Closes all addresses and connections. */
    public void stop() {
        try {
            server.stop();
        } catch (Exception failure) {
            LOGGER.atWarning().withCause(failure).log(
                    "failed to stop the HTTP listener; its sockets close when the process exits");
        }
    }

    private final class Dispatcher extends Handler.Abstract.NonBlocking {

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            DrainableConnector connector =
                    (DrainableConnector) request.getConnectionMetaData().getConnector();
            Content.Source.asByteArrayAsync(request, maxBodyBytes, new Promise.Invocable.NonBlocking<>() {
                @Override
                public void succeeded(byte[] body) {
                    JettyExchange exchange = new JettyExchange(request, response, callback, body);
                    unanswered.add(exchange);
                    handleCompleteRequest(connector.handler(), exchange);
                }

                @Override
                public void failed(Throwable failure) {
                    respondToFailedRead(new JettyExchange(request, response, callback, new byte[0]), failure);
                }
            });
            return true;
        }

        private static void respondToFailedRead(HttpExchange exchange, Throwable failure) {
            if (failure instanceof IOException) {
                // The input ended before the body, so the request was not passed on.
                exchange.respond(503, Map.of("Retry-After", "1"), new byte[0]);
            } else {
                exchange.respond(413, Map.of(), new byte[0]);
            }
        }
    }

    /** Answers with status 500 if the handler fails, so that no caller waits for a response that never comes. */
    private static void handleCompleteRequest(Consumer<HttpExchange> handler, JettyExchange exchange) {
        try {
            handler.accept(exchange);
        } catch (RuntimeException | Error failure) {
            LOGGER.atSevere().withCause(failure).atMostEvery(1, TimeUnit.SECONDS).log("handling a request failed");
            if (!exchange.responded.get()) {
                exchange.respond(500, Map.of(), new byte[0]);
            }
        }
    }

    private final class JettyExchange implements HttpExchange {

        private final Request request;
        private final Response response;
        private final Callback callback;
        private final byte[] body;
        private final AtomicBoolean responded = new AtomicBoolean();
        private volatile boolean abandoned;

        JettyExchange(Request request, Response response, Callback callback, byte[] body) {
            this.request = request;
            this.response = response;
            this.callback = callback;
            this.body = body;
        }

        @Override
        public String connectionId() {
            return request.getConnectionMetaData().getId();
        }

        @Override
        public String method() {
            return request.getMethod();
        }

        @Override
        public String host() {
            String host = request.getHeaders().get(HttpHeader.HOST);
            if (host == null) {
                return "";
            }
            int colon = host.indexOf(':');
            return colon < 0 ? host : host.substring(0, colon);
        }

        @Override
        public String path() {
            return request.getHttpURI().getPath();
        }

        @Override
        public Map<String, String> query() {
            Map<String, String> parameters = new HashMap<>();
            Request.extractQueryParameters(request).forEach(field -> parameters.put(field.getName(), field.getValue()));
            return parameters;
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public String header(String name) {
            return request.getHeaders().get(name);
        }

        @Override
        public void respond(int status, Map<String, String> headers, byte[] content) {
            if (responded.compareAndSet(false, true)) {
                send(status, headers, content);
            } else if (!abandoned) {
                LOGGER.atWarning().log(
                        "request %s %s was responded to twice; ignoring the second response", method(), path());
            }
        }

        /** Responds instead of the handler, whose response is ignored if it comes later. */
        void abandon(int status, byte[] content) {
            abandoned = true;
            if (responded.compareAndSet(false, true)) {
                send(status, Map.of(), content);
            }
        }

        private void send(int status, Map<String, String> headers, byte[] content) {
            unanswered.remove(this);
            response.setStatus(status);
            HttpFields.Mutable fields = response.getHeaders();
            headers.forEach(fields::put);
            if (content.length > 0) {
                fields.put(HttpHeader.CONTENT_TYPE, "application/json");
            }
            if (closeAfterResponse) {
                fields.put(HttpHeader.CONNECTION, "close");
            }
            fields.put(HttpHeader.CONTENT_LENGTH, content.length);
            response.write(true, ByteBuffer.wrap(content), callback);
        }
    }
}
