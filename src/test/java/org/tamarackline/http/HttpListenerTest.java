package org.tamarackline.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.load.PortReservations;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against request bodies that are lost, read too late or accepted beyond the limit, and against requests without a
 * response when reading stops.
 */
class HttpListenerTest {

    private static final int TIMEOUT_MS = 5_000;
    private static final Duration TIMEOUT = Duration.ofMillis(TIMEOUT_MS);
    private static final byte[] REQUEST = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final PortReservations ports = new PortReservations();
    private final HttpListener listener = new HttpListener(1_000);
    private InetSocketAddress address;

    @AfterEach
    void stop() {
        listener.stop();
        ports.close();
    }

    private void start(Consumer<HttpExchange> handler) throws Exception {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.reserve());
        listener.add(address, TIMEOUT_MS, handler);
        listener.start();
    }

    /** Guards against a body that is read only after the client has disconnected. */
    @Test
    void respondsToABodyThatArrivesAfterTheHeaders() throws Exception {
        start(exchange -> new Thread(() -> exchange.respond(200, Map.of(), exchange.body())).start());
        assertThat(send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", "hello"))
                .startsWith("HTTP/1.1 200")
                .endsWith("hello");
    }

    @Test
    void respondsToABodyThatArrivesWithTheHeaders() throws Exception {
        start(exchange -> new Thread(() -> exchange.respond(200, Map.of(), exchange.body())).start());
        assertThat(send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", ""))
                .startsWith("HTTP/1.1 200")
                .endsWith("hello");
    }

    /** Guards against a caller that waits, and a count of requests in flight that never falls, after a handler failed. */
    @Test
    void answersARequestWhoseHandlerFails() throws Exception {
        start(exchange -> {
            throw new StackOverflowError("test");
        });
        assertThat(send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "")).startsWith("HTTP/1.1 500");
        assertThat(listener.inFlight()).isZero();
    }

    @Test
    void refusesABodyOverTheLimit() throws Exception {
        start(exchange -> exchange.respond(200, Map.of(), new byte[0]));
        assertThat(send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n", "x".repeat(2_000)))
                .startsWith("HTTP/1.1 413");
    }

    /** Guards against a stop that leaves idle connections open, on which clients would send requests in vain. */
    @Test
    void closesIdleConnectionsAndTheAddressWhenReadingStops() throws Exception {
        start(exchange -> exchange.respond(200, Map.of(), new byte[0]));
        try (Socket unused = connect();
                Socket used = connect()) {
            used.getOutputStream().write(REQUEST);
            assertThat(readAvailable(used)).startsWith("HTTP/1.1 200");
            listener.stopReading(address);
            assertThat(listener.awaitConnectionsClosed(address, TIMEOUT)).isTrue();
            assertThat(unused.getInputStream().read()).isEqualTo(-1);
            assertThat(used.getInputStream().read()).isEqualTo(-1);
        }
        assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
    }

    /** Guards against a client that can still connect because the selector has not yet released the address. */
    @Test
    void refusesConnectionsOnceReadingHasStopped() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        start(exchange -> {
            received.countDown();
            occupySelector();
            exchange.respond(200, Map.of(), new byte[0]);
        });
        try (Socket socket = connect()) {
            socket.getOutputStream().write(REQUEST);
            received.await();
            listener.stopReading(address);
            assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
            assertThat(readAvailable(socket)).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against requests that have arrived and are thrown away because a busy selector had not read them yet. */
    @Test
    void respondsToRequestsThatArrivedBeforeReadingStopped() throws Exception {
        CountDownLatch occupied = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        start(exchange -> {
            if (occupied.getCount() > 0) {
                occupied.countDown();
                await(released);
            }
            exchange.respond(200, Map.of(), new byte[0]);
        });
        listener.closeConnectionsAfterResponses();
        try (Socket occupying = connect();
                Socket open = connect()) {
            occupying.getOutputStream().write(REQUEST);
            occupied.await();
            open.getOutputStream().write(REQUEST);
            try (Socket notAccepted = connect()) {
                notAccepted.getOutputStream().write(REQUEST);
                listener.stopReading(address);
                assertThat(listener.awaitConnectionsClosed(address, Duration.ZERO))
                        .isFalse();
                released.countDown();
                assertThat(readToEnd(open)).startsWith("HTTP/1.1 200");
                assertThat(readToEnd(notAccepted)).startsWith("HTTP/1.1 200");
            }
            assertThat(listener.awaitConnectionsClosed(address, TIMEOUT)).isTrue();
        }
        assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
    }

    /** Guards against a request that is read and handled when nobody waits for its response any more. */
    @Test
    void readsNothingAfterTheLastResponses() throws Exception {
        CountDownLatch occupied = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        AtomicInteger handled = new AtomicInteger();
        start(exchange -> {
            handled.incrementAndGet();
            if (occupied.getCount() > 0) {
                occupied.countDown();
                await(released);
            }
        });
        listener.closeConnectionsAfterResponses();
        try (Socket occupying = connect()) {
            occupying.getOutputStream().write(REQUEST);
            occupied.await();
            try (Socket notAccepted = connect()) {
                notAccepted.getOutputStream().write(REQUEST);
                listener.stopReading(address);
                listener.respondToUnanswered(504, new byte[0]);
                int handledBefore = handled.get();
                released.countDown();
                assertThat(listener.awaitConnectionsClosed(address, TIMEOUT)).isTrue();
                assertThat(handled).hasValue(handledBefore);
            }
        }
    }

    /** Guards against a response that is cut off because its request was in flight when reading stopped. */
    @Test
    void respondsToARequestInFlightAfterReadingStopped() throws Exception {
        CompletableFuture<HttpExchange> received = new CompletableFuture<>();
        start(received::complete);
        try (Socket socket = connect()) {
            socket.getOutputStream().write(REQUEST);
            HttpExchange exchange = received.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            listener.closeConnectionsAfterResponses();
            listener.stopReading(address);
            assertThat(listener.awaitConnectionsClosed(address, Duration.ofMillis(100)))
                    .isFalse();
            exchange.respond(200, Map.of(), new byte[200_000]);
            byte[] response = socket.getInputStream().readAllBytes();
            assertThat(new String(response, StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 200")
                    .contains("Connection: close");
            assertThat(response).hasSizeGreaterThan(200_000);
            assertThat(listener.awaitConnectionsClosed(address, TIMEOUT)).isTrue();
        }
    }

    /** Guards against a request without a response because its handler takes longer than the stop may last. */
    @Test
    void respondsInsteadOfAHandlerThatTakesTooLong() throws Exception {
        CompletableFuture<HttpExchange> received = new CompletableFuture<>();
        start(received::complete);
        try (Socket socket = connect()) {
            socket.getOutputStream().write(REQUEST);
            HttpExchange exchange = received.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            listener.closeConnectionsAfterResponses();
            listener.stopReading(address);
            listener.respondToUnanswered(504, new byte[0]);
            exchange.respond(200, Map.of(), new byte[0]);
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 504");
            assertThat(listener.awaitConnectionsClosed(address, TIMEOUT)).isTrue();
            assertThat(listener.inFlight()).isZero();
        }
    }

    /** Guards against a handler that gets part of a body, and a caller told that its body is too long. */
    @Test
    void refusesARequestOfWhichPartWasReadWhenReadingStopped() throws Exception {
        start(exchange -> exchange.respond(200, Map.of(), new byte[0]));
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhe"
                            .getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(100);
            listener.closeConnectionsAfterResponses();
            listener.stopReading(address);
            assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .startsWith("HTTP/1.1 503");
            assertThat(listener.awaitConnectionsClosed(address, TIMEOUT)).isTrue();
        }
    }

    /** Handlers run on the selector's thread, which so does not release channels. */
    private static void occupySelector() {
        LockSupport.parkNanos(Duration.ofMillis(300).toNanos());
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static String readAvailable(Socket socket) throws IOException {
        byte[] response = new byte[4_096];
        int read = socket.getInputStream().read(response);
        return new String(response, 0, read, StandardCharsets.US_ASCII);
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String send(String firstPart, String secondPart) throws IOException, InterruptedException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            OutputStream output = socket.getOutputStream();
            output.write(firstPart.getBytes(StandardCharsets.US_ASCII));
            output.flush();
            Thread.sleep(100);
            output.write(secondPart.getBytes(StandardCharsets.US_ASCII));
            output.flush();
            byte[] response = new byte[4_096];
            int read = socket.getInputStream().read(response);
            int total = read;
            Thread.sleep(100);
            while (socket.getInputStream().available() > 0) {
                total += socket.getInputStream().read(response, total, response.length - total);
            }
            return new String(response, 0, total, StandardCharsets.US_ASCII);
        }
    }
}
