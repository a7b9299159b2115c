package org.tamarackline.standin.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Stand-in for the platform's store: rows in memory, a version per transaction, and the history of all changes. */
final class StandinStore {

    private static final int PAGE_ROWS = 500;
    private static final int MAX_TRANSACTION_ENTRIES = 100;
    private static final int MAX_TRANSACTION_BYTES = 1_000_000;
    private static final int MAX_KEY_BYTES = 200;
    private static final int MAX_VALUE_TEXT_BYTES = 65_536;

    private record StoreRow(String table, String part, String key, String value, long version) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<String, StoreRow> rowsByFullKey = new TreeMap<>();
    private final List<StoreRow> history = new ArrayList<>();
    private long version;

    private static String fullKey(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    /** Returns whether a transaction, which is so many bytes of text, is within the limits of the platform's store. */
    static boolean withinLimits(JsonNode transaction, int textBytes) {
        int entries = 0;
        boolean fits = textBytes <= MAX_TRANSACTION_BYTES;
        for (String field : List.of("expectedRev", "writes", "remove")) {
            entries += transaction.path(field).size();
            for (JsonNode row : transaction.path(field)) {
                fits &= row.path("key").asText().getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES
                        && row.path("value").asText().length() <= MAX_VALUE_TEXT_BYTES;
            }
        }
        return fits && entries <= MAX_TRANSACTION_ENTRIES;
    }

    /**
     * Result of a transaction.
     *
     * @param response body of the response; its version is that of the transaction, whatever is stored after it
     */
    record TransactionResult(boolean applied, ObjectNode response) {}

    /** Applies a transaction, or returns the current rows if a condition does not hold. */
    synchronized TransactionResult transact(JsonNode transaction) {
        ArrayNode currentRows = mapper.createArrayNode();
        boolean conditionsHold = true;
        for (JsonNode condition : transaction.path("expectedRev")) {
            StoreRow row = rowsByFullKey.get(fullKeyOf(condition));
            conditionsHold &= condition.path("ver").asLong() == (row == null ? 0 : row.version());
            if (row != null) {
                currentRows.add(toJson(row));
            }
        }
        if (!conditionsHold) {
            ObjectNode conflict = mapper.createObjectNode().set("rows", currentRows);
            return new TransactionResult(false, addVersionAndClock(conflict));
        }
        version++;
        for (JsonNode write : transaction.path("writes")) {
            put(write, write.path("value").asText());
        }
        for (JsonNode removal : transaction.path("remove")) {
            put(removal, null);
        }
        notifyAll();
        return new TransactionResult(true, addVersionAndClock(mapper.createObjectNode()));
    }

    private static String fullKeyOf(JsonNode row) {
        return fullKey(
                row.path("table").asText(),
                row.path("part").asText(),
                row.path("key").asText());
    }

    private void put(JsonNode write, String value) {
        StoreRow row = new StoreRow(
                write.path("table").asText(),
                write.path("part").asText(),
                write.path("key").asText(),
                value,
                version);
        history.add(row);
        if (value == null) {
            rowsByFullKey.remove(fullKeyOf(write));
        } else {
            rowsByFullKey.put(fullKeyOf(write), row);
        }
    }

    /** Writes a row without conditions, as an operator or a runner does. */
    void write(String table, String key, String value) {
        write(table, "", key, value);
    }

    /** Writes a row of a partition without conditions. */
    synchronized void write(String table, String part, String key, String value) {
        version++;
        StoreRow row = new StoreRow(table, part, key, value, version);
        rowsByFullKey.put(fullKey(table, part, key), row);
        history.add(row);
        notifyAll();
    }

    /** Removes a row without conditions. */
    synchronized void remove(String table, String key) {
        version++;
        rowsByFullKey.remove(fullKey(table, "", key));
        history.add(new StoreRow(table, "", key, null, version));
        notifyAll();
    }

    synchronized Set<String> writtenKeys() {
        return history.stream().map(StoreRow::key).collect(Collectors.toSet());
    }

    synchronized ObjectNode read(String table, String part, String from, String to) {
        ObjectNode response = mapper.createObjectNode();
        ArrayNode found = response.putArray("rows");
        boolean truncated = false;
        for (StoreRow row : rowsByFullKey.values()) {
            boolean inRange =
                    row.key().compareTo(from) >= 0 && (to.isEmpty() || row.key().compareTo(to) < 0);
            if (row.table().equals(table) && row.part().equals(part) && inRange) {
                truncated = found.size() == PAGE_ROWS;
                if (truncated) {
                    break;
                }
                found.add(toJson(row));
            }
        }
        response.put("truncated", truncated);
        return addVersionAndClock(response);
    }

    /** Returns the changes of a table after a version. Waits up to {@code waitMs} until there is one. */
    synchronized ObjectNode awaitChanges(String table, long after, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            ObjectNode response = changes(table, after);
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!response.path("rows").isEmpty() || leftMs <= 0) {
                return response;
            }
            wait(leftMs);
        }
    }

    private ObjectNode changes(String table, long after) {
        ObjectNode response = mapper.createObjectNode();
        ArrayNode found = response.putArray("rows");
        for (StoreRow row : history) {
            if (row.version() > after && row.table().equals(table)) {
                found.add(toJson(row));
            }
        }
        return addVersionAndClock(response);
    }

    /** Adds the newest version and the store's monotonic time, which are part of every response about rows. */
    synchronized ObjectNode addVersionAndClock(ObjectNode response) {
        return response.put("ver", version).put("nowMs", System.nanoTime() / 1_000_000);
    }

    private ObjectNode toJson(StoreRow row) {
        ObjectNode json = mapper.createObjectNode();
        json.put("table", row.table());
        json.put("part", row.part());
        json.put("key", row.key());
        json.put("ver", row.version());
        if (row.value() == null) {
            json.put("deleted", true);
        } else {
            json.put("value", row.value());
        }
        return json;
    }
}
