package org.tamarackline.standin.fleet;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.tamarackline.http.HttpExchange;

/**
 * Connections of a stand-in that have gone silent for good: they stay open, their requests have no effect, and nothing is
 * sent on them.
 */
final class SilentConnections {

    private final Set<String> usedConnections = ConcurrentHashMap.newKeySet();
    private final Set<String> silentConnections = ConcurrentHashMap.newKeySet();

    /** Returns a handler that passes on the requests of connections that are not silent. */
    Consumer<HttpExchange> guard(Consumer<HttpExchange> handler) {
        return exchange -> {
            usedConnections.add(exchange.connectionId());
            if (!silentConnections.contains(exchange.connectionId())) {
                handler.accept(new GuardedExchange(exchange, silentConnections));
            }
        };
    }

    /**
     * Makes open connections silent. Connections that are opened later are not.
     *
     * @param share probability for each connection, from 0 to 1
     */
    void silence(double share, RandomGenerator random) {
        usedConnections.stream()
                .sorted()
                .filter(id -> random.nextDouble() < share)
                .forEach(silentConnections::add);
    }

    /** An exchange whose response is dropped if its connection has gone silent since the request. */
    private record GuardedExchange(HttpExchange exchange, Set<String> silentConnections) implements HttpExchange {

        @Override
        public String connectionId() {
            return exchange.connectionId();
        }

        @Override
        public String method() {
            return exchange.method();
        }

        @Override
        public String host() {
            return exchange.host();
        }

        @Override
        public String path() {
            return exchange.path();
        }

        @Override
        public Map<String, String> query() {
            return exchange.query();
        }

        @Override
        public byte[] body() {
            return exchange.body();
        }

        @Override
        public String header(String name) {
            return exchange.header(name);
        }

        @Override
        public void respond(int status, Map<String, String> headers, byte[] content) {
            if (!silentConnections.contains(exchange.connectionId())) {
                exchange.respond(status, headers, content);
            }
        }
    }
}
