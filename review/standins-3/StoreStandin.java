import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

/** The platform's metadata store: rows with versions, atomic transactions, and the feed of changes. */
final class StoreStandin {

    private static final int PAGE_ROWS = 500;
    private static final long TRANSACTION_MS = 8;

    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTable = table.compareTo(other.table);
            int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private record Row(Key key, String value, long version) {}

    private final TreeMap<Key, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final StandinHttpServer server;
    private long version;

    StoreStandin() throws IOException {
        server = new StandinHttpServer("127.0.0.1", 0, this::handle);
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    void stop() {
        server.stop();
    }

    /** Writes a row of an empty part, as the operator and the runners do. */
    synchronized void write(String table, String key, String value) {
        version++;
        put(new Key(table, "", key), Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Removes a row of an empty part. */
    synchronized void remove(String table, String key) {
        version++;
        put(new Key(table, "", key), null);
    }

    private void put(Key key, String value) {
        Row row = new Row(key, value, version);
        history.add(row);
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String parameter : text == null ? new String[0] : text.split("&")) {
            int equals = parameter.indexOf('=');
            query.put(parameter.substring(0, equals),
                    URLDecoder.decode(parameter.substring(equals + 1), StandardCharsets.UTF_8));
        }
        JsonNode body = StandinHttpServer.read(exchange);
        try {
            switch (exchange.getRequestURI().getPath()) {
                case "/-/rows-tx" -> transact(exchange, body);
                case "/-/rows-get" -> StandinHttpServer.respond(exchange, 200, read(query));
                case "/-/rows-feed" -> StandinHttpServer.respond(exchange, 200, feed(query));
                default -> StandinHttpServer.respond(exchange, 404, null);
            }
        } catch (InterruptedException stopped) {
            exchange.close();
        }
    }

    private void transact(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
        Thread.sleep(TRANSACTION_MS);
        ObjectNode response = StandinHttpServer.JSON.createObjectNode();
        boolean applied = apply(body, response);
        StandinHttpServer.respond(exchange, applied ? 200 : 412, response);
    }

    private synchronized boolean apply(JsonNode body, ObjectNode response) {
        ArrayNode current = StandinHttpServer.JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode condition : body.path("expectedRev")) {
            Row row = rows.get(keyOf(condition));
            holds &= condition.path("ver").asLong() == (row == null ? 0 : row.version());
            if (row != null) {
                current.add(toJson(row));
            }
        }
        if (holds) {
            version++;
            body.path("writes").forEach(write -> put(keyOf(write), write.path("value").asText()));
            body.path("remove").forEach(removal -> put(keyOf(removal), null));
        } else {
            response.set("rows", current);
        }
        addClock(response);
        return holds;
    }

    private static Key keyOf(JsonNode row) {
        return new Key(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    private synchronized ObjectNode read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String target = query.getOrDefault("target", "");
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
        ObjectNode response = StandinHttpServer.JSON.createObjectNode();
        ArrayNode found = response.putArray("rows");
        boolean truncated = false;
        Key first = new Key(query.get("table"), query.getOrDefault("part", ""), from);
        for (Row row : rows.tailMap(first).values()) {
            boolean samePart = row.key().table().equals(first.table()) && row.key().part().equals(first.part());
            if (!samePart || (!target.isEmpty() && row.key().key().compareTo(target) >= 0)) {
                break;
            }
            if (found.size() == limit) {
                truncated = true;
                break;
            }
            found.add(toJson(row));
        }
        response.put("truncated", truncated);
        addClock(response);
        return response;
    }

    private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            ObjectNode response = StandinHttpServer.JSON.createObjectNode();
            ArrayNode found = response.putArray("rows");
            // The history is in the order of versions.
            for (int i = history.size() - 1; i >= 0 && history.get(i).version() > after; i--) {
                if (history.get(i).key().table().equals(query.get("table"))) {
                    found.insert(0, toJson(history.get(i)));
                }
            }
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) {
                addClock(response);
                return response;
            }
            wait(leftMs);
        }
    }

    private void addClock(ObjectNode response) {
        response.put("ver", version);
        response.put("nowMs", System.nanoTime() / 1_000_000);
    }

    private static ObjectNode toJson(Row row) {
        ObjectNode json = StandinHttpServer.JSON.createObjectNode();
        json.put("table", row.key().table()).put("part", row.key().part()).put("key", row.key().key());
        json.put("ver", row.version());
        return row.value() == null ? json.put("deleted", true) : json.put("value", row.value());
    }
}
