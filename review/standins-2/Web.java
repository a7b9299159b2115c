import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server of a stand-in. */
final class Web implements AutoCloseable {

    /** One request. */
    record Call(String method, String path, Map<String, String> parameters, Map<String, String> headers, byte[] body) {

        String query(String name) {
            return parameters.getOrDefault(name, "");
        }
    }

    /** One response. */
    record Reply(int status, byte[] body) {

        static Reply of(int status, String body) {
            return new Reply(status, body.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Handles requests; null means that no response is ever sent. */
    interface Handler {
        Reply handle(Call call) throws Exception;
    }

    private final HttpServer server;

    Web(String host, int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders().forEach((name, values) -> headers.put(name.toLowerCase(), values.getFirst()));
        Map<String, String> parameters = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String pair : query.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    parameters.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        }
        byte[] body = exchange.getRequestBody().readAllBytes();
        Reply reply;
        try {
            reply = handler.handle(new Call(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), parameters, headers, body));
        } catch (Exception failure) {
            reply = Reply.of(500, "{}");
        }
        if (reply == null) {
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
        if (reply.body().length > 0) {
            exchange.getResponseBody().write(reply.body());
        }
        exchange.close();
    }

    /** Closes the address and all connections. */
    @Override
    public void close() {
        server.stop(0);
    }
}
