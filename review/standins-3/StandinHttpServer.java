import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

/** HTTP server of a stand-in, with a thread for each request. */
final class StandinHttpServer {

    static final ObjectMapper JSON = new ObjectMapper();

    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /** Starts a server; port 0 takes a free port. */
    StandinHttpServer(String host, int port, HttpHandler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 256);
        server.setExecutor(threads);
        server.createContext("/", handler);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Closes the port and all connections, as the end of a process does. */
    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }

    static JsonNode read(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        return body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
    }

    static void respond(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }
}
