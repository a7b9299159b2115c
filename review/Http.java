import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Small helpers for HTTP servers with JSON bodies on loopback addresses. */
final class Http {

    static final ObjectMapper JSON = new ObjectMapper();
    static final String LOOPBACK = "127.0.0.1";

    /** Handles a request; one that is not responded to is closed. */
    interface Handler {
        void handle(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException;
    }

    private Http() {}

    /** Returns a port that nothing listens on, below those that the system takes for outgoing connections. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                // Another port is tried.
            }
        }
    }

    static HttpServer listen(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 1024);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            try {
                handler.handle(exchange, bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes));
            } catch (InterruptedException stopped) {
                exchange.close();
            } catch (RuntimeException | IOException failure) {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return LOOPBACK + ":" + server.getAddress().getPort();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> parameters = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String pair : query.split("&")) {
                int equals = pair.indexOf('=');
                parameters.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }

    static void respond(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
