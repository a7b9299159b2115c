import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows, transactions, reads and the feed. It
 * refuses with status 400 what is over its limits on rows, entries and bytes.
 */
final class Store {

    private static final int MAX_ENTRIES = 100;
    private static final int MAX_BYTES = 1_000_000;
    private static final int PAGE_ROWS = 500;

    private record Row(String table, String part, String key, String value, long version) {}

    private final Recorder recorder;
    private final int rowBytes;
    private final HttpServer server;
    private final Map<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version;
    private long refusedTransactions;

    Store(Recorder recorder, int rowBytes) throws IOException {
        this.recorder = recorder;
        this.rowBytes = rowBytes;
        this.server = Http.listen(this::handle);
    }

    String address() {
        return Http.address(server);
    }

    synchronized long refusedTransactions() {
        return refusedTransactions;
    }

    /** Writes a row of the operator or of a runner. */
    synchronized void write(String table, String key, JsonNode value) {
        version++;
        put(table, "", key, Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private static String fullKey(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    private static String fullKey(JsonNode row) {
        return fullKey(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    private void put(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, version);
        if (value == null) {
            rows.remove(fullKey(table, part, key));
        } else {
            rows.put(fullKey(table, part, key), row);
        }
        history.add(row);
        if (history.size() > 20_000) {
            history.subList(0, 5_000).clear();
        }
    }

    private void handle(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
        Map<String, String> query = Http.query(exchange);
        switch (exchange.getRequestURI().getPath()) {
            case "/-/rows-tx" -> handleTransaction(exchange, body);
            case "/-/rows-get" -> Http.respond(exchange, 200, read(query));
            case "/-/rows-feed" -> Http.respond(exchange, 200, feed(query));
            default -> Http.respond(exchange, 404, Http.JSON.createObjectNode());
        }
    }

    private void handleTransaction(HttpExchange exchange, JsonNode transaction)
            throws IOException, InterruptedException {
        Thread.sleep(8);
        ObjectNode response = Http.JSON.createObjectNode();
        int status = apply(transaction, response);
        Http.respond(exchange, status, response);
    }

    private synchronized int apply(JsonNode transaction, ObjectNode response) {
        int entries = transaction.path("expectedRev").size()
                + transaction.path("writes").size()
                + transaction.path("remove").size();
        int bytes = 0;
        boolean valid = entries <= MAX_ENTRIES;
        for (JsonNode write : transaction.path("writes")) {
            String value = write.path("value").asText();
            bytes += value.length();
            int length = value.length() / 4 * 3;
            if (length > rowBytes) {
                valid = false;
                if (refusedTransactions < 20) {
                    recorder.line(
                            "store: row %s/%s has %d bytes, more than rowBytes = %d",
                            write.path("table").asText(), write.path("key").asText(), length, rowBytes);
                }
            }
        }
        if (!valid || bytes > MAX_BYTES) {
            refusedTransactions++;
            return 400;
        }
        boolean hold = true;
        ArrayNode current = Http.JSON.createArrayNode();
        for (JsonNode condition : transaction.path("expectedRev")) {
            Row row = rows.get(fullKey(condition));
            hold &= condition.path("ver").asLong() == (row == null ? 0 : row.version());
            if (row != null) {
                current.add(toJson(row));
            }
        }
        if (hold) {
            version++;
            for (JsonNode write : transaction.path("writes")) {
                put(
                        write.path("table").asText(),
                        write.path("part").asText(),
                        write.path("key").asText(),
                        write.path("value").asText());
            }
            for (JsonNode removal : transaction.path("remove")) {
                put(
                        removal.path("table").asText(),
                        removal.path("part").asText(),
                        removal.path("key").asText(),
                        null);
            }
            notifyAll();
        }
        if (!hold) {
            response.set("rows", current);
        }
        addVersion(response);
        return hold ? 200 : 412;
    }

    private synchronized ObjectNode read(Map<String, String> query) {
        String from = fullKey(query.get("table"), query.getOrDefault("part", ""), query.getOrDefault("from", ""));
        String prefix = fullKey(query.get("table"), query.getOrDefault("part", ""), "");
        String target = query.getOrDefault("target", "");
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
        ObjectNode response = Http.JSON.createObjectNode();
        ArrayNode found = response.putArray("rows");
        boolean truncated = false;
        for (Row row : ((TreeMap<String, Row>) rows).tailMap(from, true).values()) {
            if (!fullKey(row.table(), row.part(), "").equals(prefix)
                    || (!target.isEmpty() && row.key().compareTo(target) >= 0)) {
                break;
            }
            if (found.size() == limit) {
                truncated = true;
                break;
            }
            found.add(toJson(row));
        }
        response.put("truncated", truncated);
        return addVersion(response);
    }

    private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            ArrayNode found = Http.JSON.createArrayNode();
            for (int i = history.size() - 1; i >= 0 && history.get(i).version() > after; i--) {
                if (history.get(i).table().equals(query.get("table"))) {
                    found.insert(0, toJson(history.get(i)));
                }
            }
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) {
                ObjectNode response = Http.JSON.createObjectNode();
                response.set("rows", found);
                return addVersion(response);
            }
            wait(leftMs);
        }
    }

    private ObjectNode addVersion(ObjectNode response) {
        return response.put("ver", version).put("nowMs", System.nanoTime() / 1_000_000);
    }

    private static ObjectNode toJson(Row row) {
        ObjectNode json = Http.JSON.createObjectNode();
        json.put("table", row.table()).put("part", row.part()).put("key", row.key()).put("ver", row.version());
        return row.value() == null ? json.put("deleted", true) : json.put("value", row.value());
    }
}
