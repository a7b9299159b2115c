package org.tamarackline.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tamarackline.standin.fleet.StandinFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against calls whose callback never runs, so that whoever waits for the result waits forever. */
class AsyncHttpClientTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final List<HttpCallResult> results = new CopyOnWriteArrayList<>();
    private AsyncHttpClient client;
    private HttpListener listener;
    private String address;

    @BeforeEach
    void start() throws Exception {
        client = new AsyncHttpClient(2);
        listener = new HttpListener(1_000);
        var socketAddress = StandinFleet.reserveAddress();
        address = StandinFleet.hostAndPort(socketAddress);
        listener.add(socketAddress, TIMEOUT.toMillis(), exchange -> exchange.respond(200, Map.of(), new byte[0]));
        listener.start();
    }

    @AfterEach
    void stop() {
        client.close();
        listener.stop();
    }

    private void call(String callAddress, String target, Map<String, String> headers) throws InterruptedException {
        CountDownLatch called = new CountDownLatch(1);
        client.call("GET", callAddress, target, headers, null, TIMEOUT, result -> {
            results.add(result);
            called.countDown();
        });
        assertThat(called.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
    }

    /** Guards against a poll or a start that is never answered because the address in a record is not one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "x",
                ":80",
                "10.0.0.1",
                "10.0.0.1:",
                "10.0.0.1:0",
                "10.0.0.1:99999",
                "10.0.0.1:99999999999",
                "10.0.0.1:-1",
                "....:80",
                "999.1.1.1:80",
                "10.0.0.1\r\nX: y:80",
                "name:80"
            })
    void reportsACallToAnInvalidAddressAsNotSent(String invalid) throws InterruptedException {
        call(invalid, "/", Map.of());
        assertThat(results)
                .singleElement()
                .isInstanceOfSatisfying(
                        HttpCallResult.NoResponse.class,
                        result -> assertThat(result.neverSent()).isTrue());
    }

    /**
     * Guards against a second run of a task: a start counts as not executed if it was never sent, so one that the runner has
     * read must not, even if its connection is reset while new connections are refused.
     */
    @Test
    void requestThatWasReadIsNotReportedAsNotSent() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        String serverAddress = "127.0.0.1:" + server.getLocalPort();
        CountDownLatch answered = new CountDownLatch(1);
        client.call("GET", serverAddress, "/", Map.of(), null, TIMEOUT, result -> {
            results.add(result);
            answered.countDown();
        });
        try (Socket connection = server.accept()) {
            assertThat(connection.getInputStream().read()).isEqualTo('G');
            server.close();
            call(serverAddress, "/", Map.of());
            assertThat(neverSent(0)).as("on a new connection").isTrue();
            // Closes the connection with a reset.
            connection.setSoLinger(true, 0);
        }
        assertThat(answered.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
        assertThat(neverSent(1)).as("on the open connection").isFalse();
    }

    private boolean neverSent(int call) {
        return ((HttpCallResult.NoResponse) results.get(call)).neverSent();
    }

    /** Guards against a target that the HTTP library rejects with an exception. */
    @ParameterizedTest
    @ValueSource(strings = {"", "no-slash", "/a b", "/%zz", "/\r\nX: y", "http://[", "/\u0000"})
    void answersACallWithAnOddTargetOnce(String target) throws InterruptedException {
        call(address, target, Map.of("X-Odd", "a\r\nY: b"));
        assertThat(results).hasSize(1);
    }

    /** Guards against a failing callback that runs twice or takes a thread of the client with it. */
    @Test
    void callbackThatThrowsRunsOnceAndLaterCallsAreAnswered() throws InterruptedException {
        for (int i = 0; i < 10; i++) {
            client.call("GET", address, "/", Map.of(), null, TIMEOUT, result -> {
                results.add(result);
                throw new StackOverflowError("test");
            });
        }
        client.call("GET", "", "/", Map.of(), null, TIMEOUT, result -> {
            results.add(result);
            throw new IllegalStateException("test");
        });
        call(address, "/", Map.of());
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (results.size() < 12 && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(5);
        }
        assertThat(results).hasSize(12);
    }

    /** Guards against a repeated read that goes over a connection which is as silent as that of the first attempt. */
    @Test
    void callOnNewConnectionIsAnsweredAlthoughOpenConnectionsAreSilent() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread.ofPlatform().daemon().start(() -> answerFirstRequestOfEachConnection(server));
            String silentAddress = "127.0.0.1:" + server.getLocalPort();
            call(silentAddress, "/", Map.of());
            client.call("GET", silentAddress, "/", Map.of(), null, TIMEOUT, result -> {});
            for (int i = 0; i < 4; i++) {
                CountDownLatch called = new CountDownLatch(1);
                client.callOnNewConnection("GET", silentAddress, "/", Map.of(), null, TIMEOUT, result -> {
                    results.add(result);
                    called.countDown();
                });
                assertThat(called.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                        .isTrue();
            }
        }
        assertThat(results)
                .hasSize(5)
                .allSatisfy(result -> assertThat(result).isInstanceOf(HttpCallResult.Response.class));
    }

    private static void answerFirstRequestOfEachConnection(ServerSocket server) {
        byte[] response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        List<Socket> connections = new ArrayList<>();
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                if (connection.getInputStream().read() >= 0) {
                    connection.getOutputStream().write(response);
                }
            }
        } catch (IOException closed) {
            // The test has closed the server.
            connections.forEach(AsyncHttpClientTest::close);
        }
    }

    private static void close(Socket connection) {
        try {
            connection.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Guards against log lines with the states of the client's objects, which say nothing to their readers. */
    @Test
    void failuresAreDescribedWithoutTheStatesOfObjects() {
        assertThat(AsyncHttpClient.describe(new IOException("HttpConnection@1f2e(l:/10.1.0.7:1,closed=false)")))
                .isEqualTo("IOException: HttpConnection");
        assertThat(AsyncHttpClient.describe(new IOException("{l=/10.1.0.7:7720,r=/10.2.0.3:7720}")))
                .isEqualTo("IOException");
        assertThat(AsyncHttpClient.describe(new IOException())).isEqualTo("IOException");
        assertThat(AsyncHttpClient.describe(new IOException("connection reset")))
                .isEqualTo("IOException: connection reset");
    }
}
