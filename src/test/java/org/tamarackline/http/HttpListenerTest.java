package org.tamarackline.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against request bodies that are lost, read too late or accepted beyond the limit. */
class HttpListenerTest {

    private static final int TIMEOUT_MS = 5_000;

    private final HttpListener listener = new HttpListener(1_000);
    private InetSocketAddress address;

    @AfterEach
    void stop() {
        listener.stop();
    }

    private void start(Consumer<HttpExchange> handler) throws Exception {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
        }
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
