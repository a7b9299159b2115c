import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

/** Stand-in for the platform's store: linearizable rows, one version counter, feeds with a full history. */
final class Store {

    private static final int TX_MS = 8;
    private static final int READ_MS = 4;
    private static final int PAGE_ROWS = 500;

    private record Row(String table, String part, String key, String value, long ver, boolean deleted) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final TreeMap<String, Row> rows = new TreeMap<>(
            (a, b) -> Arrays.compareUnsigned(a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8)));
    private final List<Row> history = new ArrayList<>();
    private final ConcurrentHashMap<String, ReentrantLock> partitions = new ConcurrentHashMap<>();
    private long version;

    private static String fullKey(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    /** Handles one HTTP call. */
    Web.Reply handle(Web.Call call) throws Exception {
        return handle(call, call.path().equals("/-/rows-tx") ? TX_MS : READ_MS);
    }

    private Web.Reply handle(Web.Call call, long delayMs) throws Exception {
        switch (call.path()) {
            case "/-/rows-tx" -> {
                JsonNode tx = mapper.readTree(call.body());
                String part = "";
                for (String field : List.of("expectedRev", "writes", "remove")) {
                    for (JsonNode row : tx.path(field)) {
                        part = row.path("part").asText();
                        if (List.of("op", "servers").contains(row.path("table").asText()) && !field.equals("expectedRev")) {
                            return Web.Reply.of(403, "{}");
                        }
                    }
                }
                // A partition carries out one transaction after the other.
                ReentrantLock lock = partitions.computeIfAbsent(part, key -> new ReentrantLock(true));
                lock.lock();
                try {
                    Thread.sleep(delayMs);
                    return transact(tx);
                } finally {
                    lock.unlock();
                }
            }
            case "/-/rows-get" -> {
                Thread.sleep(delayMs);
                return get(call.query("table"), call.query("part"), call.query("from"), call.query("target"), call.query("limit"));
            }
            case "/-/rows-feed" -> {
                return feed(call.query("table"), Long.parseLong(call.query("after")), Long.parseLong(call.query("waitMs")));
            }
            default -> {
                return Web.Reply.of(404, "{}");
            }
        }
    }

    private synchronized Web.Reply transact(JsonNode tx) {
        ArrayNode current = mapper.createArrayNode();
        boolean holds = true;
        for (JsonNode condition : tx.path("expectedRev")) {
            Row row = rows.get(fullKey(condition.path("table").asText(), condition.path("part").asText(), condition.path("key").asText()));
            holds &= condition.path("ver").asLong() == (row == null ? 0 : row.ver());
            if (row != null) {
                current.add(json(row));
            }
        }
        if (!holds) {
            ObjectNode conflict = mapper.createObjectNode();
            conflict.set("rows", current);
            return Web.Reply.of(412, stamped(conflict).toString());
        }
        version++;
        for (JsonNode write : tx.path("writes")) {
            put(write.path("table").asText(), write.path("part").asText(), write.path("key").asText(), write.path("value").asText());
        }
        for (JsonNode removal : tx.path("remove")) {
            put(removal.path("table").asText(), removal.path("part").asText(), removal.path("key").asText(), null);
        }
        notifyAll();
        return Web.Reply.of(200, stamped(mapper.createObjectNode()).toString());
    }

    private void put(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, version, value == null);
        history.add(row);
        if (value == null) {
            rows.remove(fullKey(table, part, key));
        } else {
            rows.put(fullKey(table, part, key), row);
        }
    }

    /** Writes a row with an empty part, as the operator or a runner does. */
    synchronized void write(String table, String key, byte[] value) {
        version++;
        put(table, "", key, Base64.getEncoder().encodeToString(value));
        notifyAll();
    }

    /** Removes a row with an empty part. */
    synchronized void remove(String table, String key) {
        version++;
        put(table, "", key, null);
        notifyAll();
    }

    private synchronized Web.Reply get(String table, String part, String from, String target, String limit) {
        ObjectNode answer = mapper.createObjectNode();
        ArrayNode found = answer.putArray("rows");
        int most = limit.isEmpty() ? PAGE_ROWS : Math.min(PAGE_ROWS, Integer.parseInt(limit));
        boolean truncated = false;
        for (Row row : rows.tailMap(fullKey(table, part, from), true).values()) {
            if (!row.table().equals(table) || !row.part().equals(part)
                    || (!target.isEmpty() && row.key().compareTo(target) >= 0)) {
                break;
            }
            if (found.size() == most) {
                truncated = true;
                break;
            }
            found.add(json(row));
        }
        answer.put("truncated", truncated);
        return Web.Reply.of(200, stamped(answer).toString());
    }

    private synchronized Web.Reply feed(String table, long after, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            ObjectNode answer = mapper.createObjectNode();
            ArrayNode found = answer.putArray("rows");
            for (int i = history.size() - 1; i >= 0 && history.get(i).ver() > after; i--) {
                if (history.get(i).table().equals(table)) {
                    found.insert(0, json(history.get(i)));
                }
            }
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) {
                return Web.Reply.of(200, stamped(answer).toString());
            }
            wait(leftMs);
        }
    }

    private ObjectNode stamped(ObjectNode answer) {
        return answer.put("ver", version).put("nowMs", System.nanoTime() / 1_000_000);
    }

    private ObjectNode json(Row row) {
        ObjectNode json = mapper.createObjectNode();
        json.put("table", row.table()).put("part", row.part()).put("key", row.key()).put("ver", row.ver());
        if (row.deleted()) {
            json.put("deleted", true);
        } else {
            json.put("value", row.value());
        }
        return json;
    }
}
