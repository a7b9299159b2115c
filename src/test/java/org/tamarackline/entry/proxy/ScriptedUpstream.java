package org.tamarackline.entry.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP upstream on a free port, whose responses the test writes byte by byte. */
final class ScriptedUpstream implements Closeable {

    record ReceivedRequest(String requestLine, Map<String, String> headers, String body) {
        String path() {
            return requestLine.split(" ", -1)[1];
        }
    }

    /** Writes the response; an exception or a closed socket breaks the connection. */
    interface Script {
        void respond(ReceivedRequest request, Socket connection) throws Exception;
    }

    /** Counts a request as active until its end, which takes effect only once. */
    private final class ActiveRequest {

        private boolean ended;

        ActiveRequest() {
            maxConcurrentRequests.accumulateAndGet(concurrentRequests.incrementAndGet(), Math::max);
        }

        void end() {
            if (!ended) {
                ended = true;
                concurrentRequests.decrementAndGet();
            }
        }
    }

    /** The request that the current thread responds to. */
    private static final ThreadLocal<ActiveRequest> CURRENT = new ThreadLocal<>();

    final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
    final AtomicInteger acceptedConnections = new AtomicInteger();
    final AtomicInteger concurrentRequests = new AtomicInteger();
    final AtomicInteger maxConcurrentRequests = new AtomicInteger();
    volatile Script script;
    private final ServerSocket server;
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();

    ScriptedUpstream(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    static Script echo() {
        return (request, connection) -> reply(connection, 200, request.path());
    }

    static void reply(Socket connection, int status, String body, String... headerLines) throws IOException {
        StringBuilder head =
                new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n");
        for (String line : headerLines) {
            head.append(line).append("\r\n");
        }
        // Ends before the write: the next request may arrive as soon as the response is read, before this thread
        // continues.
        if (CURRENT.get() != null) {
            CURRENT.get().end();
        }
        write(connection, head.append("\r\n").append(body).toString());
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        connection.getOutputStream().flush();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                acceptedConnections.incrementAndGet();
                openConnections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                ReceivedRequest request = read(in);
                received.add(request);
                ActiveRequest active = new ActiveRequest();
                CURRENT.set(active);
                try {
                    script.respond(request, connection);
                } finally {
                    active.end();
                }
            }
        } catch (Exception e) {
            openConnections.remove(connection);
        }
    }

    private static ReceivedRequest read(InputStream in) throws IOException {
        String requestLine = readLine(in);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new ReceivedRequest(requestLine, headers, readBody(in, headers));
    }

    private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.containsKey("transfer-encoding")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = readSize(in); size > 0; size = readSize(in)) {
                body.write(in.readNBytes(size));
                readLine(in);
            }
            readLine(in);
            return body.toString(StandardCharsets.ISO_8859_1);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    private static int readSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).strip(), 16);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("connection closed");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        shutDown();
    }

    /** Closes the server and its connections. */
    void shutDown() throws IOException {
        server.close();
        for (Socket connection : openConnections) {
            connection.close();
        }
    }
}
