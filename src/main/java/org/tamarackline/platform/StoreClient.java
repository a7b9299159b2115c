package org.tamarackline.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.fleet.DecisionLog;
import org.tamarackline.fleet.EventLoop;
import org.tamarackline.fleet.PlatformRunnerDirectory;
import org.tamarackline.fleet.RecordStore;
import org.tamarackline.fleet.StoreClock;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpCallResult;
import org.tamarackline.json.JsonNumbers;

/** Accesses the platform's store over HTTP, and the directory of runners in it. */
final class StoreClient implements RecordStore, PlatformRunnerDirectory {

    private static final Duration WRITE_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1_500);
    /** Added to the time for which the store may wait for a change. */
    private static final Duration FOLLOW_TIMEOUT_MARGIN = Duration.ofSeconds(1);

    private static final String UNDECODABLE = "the response cannot be decoded";
    private static final String CLOCK_FIELD = "nowMs";
    private static final int PAGE_ROWS = 500;
    private static final String DIRECTORY_TABLE = "servers";

    /** Holds all rows of a fleet, because all its transactions are ordered relative to each other. */
    private static final String FLEET_PARTITION = "0";

    /** Holds the limit of the leases, whose writes thereby do not wait for the fleet's other transactions. */
    private static final String LEASE_PARTITION = "1";

    /** Holds the rows of operators and runners; its name is empty. */
    private static final String SHARED_PARTITION = "";

    /** Connections that calls use. */
    private enum Connections {
        /** Open ones, if any are idle. */
        POOLED,
        /** One that is opened for each call. */
        NEW
    }

    private final AsyncHttpClient http;
    private final EventLoop loop;
    private final RejectedEntries rejectedEntries;
    private final StoreClock clock = new StoreClock();
    private String address;

    StoreClient(AsyncHttpClient http, EventLoop loop, DecisionLog log, String address) {
        this.http = http;
        this.loop = loop;
        this.rejectedEntries = new RejectedEntries(log);
        this.address = address;
    }

    /** Changes the address for subsequent calls. */
    void setAddress(String newAddress) {
        address = newAddress;
    }

    @Override
    public StoreClock clock() {
        return clock;
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
        transact(Connections.POOLED, transaction, callback);
    }

    @Override
    public void transactOnNewConnection(Transaction transaction, Consumer<TransactionResult> callback) {
        transact(Connections.NEW, transaction, callback);
    }

    private void transact(Connections connections, Transaction transaction, Consumer<TransactionResult> callback) {
        long sentNanos = loop.nowNanos();
        call(
                connections,
                "POST",
                "/-/rows-tx",
                encodeTransaction(transaction),
                WRITE_TIMEOUT,
                result -> callback.accept(toTransactionResult(result, sentNanos)));
    }

    private static byte[] encodeTransaction(Transaction transaction) {
        return Json.encodeObject(json -> {
            // The required version of a row; 0 means that it must not exist.
            json.writeArrayFieldStart("expectedRev");
            for (Condition condition : transaction.conditions()) {
                writeRow(json, condition.table(), condition.key());
                json.writeNumberField("ver", condition.version());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("writes");
            for (Write write : transaction.writes()) {
                if (write.value() != null) {
                    writeRow(json, write.table(), write.key());
                    json.writeStringField("value", Base64.getEncoder().encodeToString(write.value()));
                    json.writeEndObject();
                }
            }
            json.writeEndArray();
            json.writeArrayFieldStart("remove");
            for (Write write : transaction.writes()) {
                if (write.value() == null) {
                    writeRow(json, write.table(), write.key());
                    json.writeEndObject();
                }
            }
            json.writeEndArray();
        });
    }

    private static void writeRow(JsonGenerator json, Table table, String key) throws IOException {
        json.writeStartObject();
        json.writeStringField("table", nameOf(table));
        json.writeStringField("part", partitionOf(table));
        json.writeStringField("key", key);
    }

    private TransactionResult toTransactionResult(HttpCallResult result, long sentNanos) {
        return switch (result) {
            case HttpCallResult.NoResponse noResponse
            when noResponse.neverSent() -> new TransactionResult.NotApplied(noResponse.cause());
            case HttpCallResult.NoResponse noResponse -> new TransactionResult.Unknown(noResponse.cause());
            case HttpCallResult.Response response ->
                switch (response.status()) {
                    case 200 ->
                        parse(response, sentNanos)
                                .map(StoreClient::version)
                                .filter(OptionalLong::isPresent)
                                .<TransactionResult>map(version -> new TransactionResult.Applied(version.getAsLong()))
                                .orElseGet(() -> new TransactionResult.Unknown(UNDECODABLE));
                    case 412 ->
                        parse(response, sentNanos)
                                .flatMap(StoreClient::decodeEntries)
                                .<TransactionResult>map(TransactionResult.Conflict::new)
                                .orElseGet(() -> new TransactionResult.Unknown("the response cannot be decoded"));
                    case 429 -> new TransactionResult.NotApplied("status 429", true);
                    case 503 -> new TransactionResult.NotApplied("status 503");
                    case 400, 403, 404, 405, 411, 413, 414, 415, 422, 431 ->
                        new TransactionResult.Rejected("status " + response.status());
                    default -> new TransactionResult.Unknown("status " + response.status());
                };
        };
    }

    @Override
    public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
        read(Connections.POOLED, table, from, to, callback);
    }

    @Override
    public void readOnNewConnection(Table table, String from, String to, Consumer<ReadResult> callback) {
        read(Connections.NEW, table, from, to, callback);
    }

    private void read(Connections connections, Table table, String from, String to, Consumer<ReadResult> callback) {
        // The platform calls the end of the range a target.
        String endParameter = to == null ? "" : "&target=" + urlEncode(to);
        String target = "/-/rows-get?table=" + nameOf(table) + "&part=" + partitionOf(table) + "&from="
                + urlEncode(from) + endParameter + "&limit=" + PAGE_ROWS;
        long sentNanos = loop.nowNanos();
        read(connections, target, result -> callback.accept(toReadResult(result, sentNanos)));
    }

    @Override
    public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
        long sentNanos = loop.nowNanos();
        call(
                Connections.POOLED,
                "GET",
                changesTarget(table, afterVersion, wait),
                null,
                wait.plus(FOLLOW_TIMEOUT_MARGIN),
                result -> callback.accept(toReadResult(result, sentNanos)));
    }

    @Override
    public void readChangesOnNewConnection(Table table, long afterVersion, Consumer<ReadResult> callback) {
        long sentNanos = loop.nowNanos();
        read(
                Connections.NEW,
                changesTarget(table, afterVersion, Duration.ZERO),
                result -> callback.accept(toReadResult(result, sentNanos)));
    }

    private static String changesTarget(Table table, long afterVersion, Duration wait) {
        return "/-/rows-feed?table=" + nameOf(table) + "&after=" + afterVersion + "&waitMs=" + wait.toMillis();
    }

    private ReadResult toReadResult(HttpCallResult result, long sentNanos) {
        return switch (result) {
            case HttpCallResult.NoResponse noResponse -> new ReadResult.Failed(noResponse.cause());
            case HttpCallResult.Response response when response.status() == 410 -> new ReadResult.HistoryLost();
            case HttpCallResult.Response response
            when response.status() == 200 ->
                parse(response, sentNanos)
                        .flatMap(StoreClient::decodePage)
                        .orElseGet(() -> new ReadResult.Failed(UNDECODABLE));
            case HttpCallResult.Response response -> new ReadResult.Failed("status " + response.status());
        };
    }

    private static Optional<ReadResult> decodePage(JsonNode root) {
        OptionalLong version = version(root);
        if (version.isEmpty()) {
            return Optional.empty();
        }
        return decodeEntries(root)
                .map(entries -> new ReadResult.Page(
                        entries, version.getAsLong(), root.path("truncated").asBoolean()));
    }

    /** Returns the rows of the known tables; empty if one of them is malformed. A response without rows may omit them. */
    private static Optional<List<Entry>> decodeEntries(JsonNode root) {
        JsonNode rows = root.path("rows");
        if (!rows.isArray() && !rows.isMissingNode() && !rows.isNull()) {
            return Optional.empty();
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode row : rows) {
            OptionalLong version = version(row);
            boolean keyAbsent = row.path("key").isMissingNode();
            if (!row.isObject() || (!keyAbsent && !row.path("key").isTextual()) || version.isEmpty()) {
                return Optional.empty();
            }
            Table table = tableOf(row.path("table").asText());
            if (table != null) {
                entries.add(new Entry(
                        table,
                        row.path("key").asText(),
                        decodeValue(row),
                        version.getAsLong(),
                        row.path("deleted").asBoolean()));
            }
        }
        return Optional.of(entries);
    }

    private static OptionalLong version(JsonNode object) {
        return JsonNumbers.whole(object.path("ver"), 0, Long.MAX_VALUE);
    }

    /** Returns the content of a row, empty if it is absent or not valid base64. */
    private static byte[] decodeValue(JsonNode row) {
        try {
            return Base64.getDecoder().decode(row.path("value").asText(""));
        } catch (IllegalArgumentException malformed) {
            return new byte[0];
        }
    }

    @Override
    public void list(Consumer<Optional<List<RunnerDescriptor>>> callback) {
        listFrom(Connections.POOLED, "", new ArrayList<>(), new LinkedHashMap<>(), callback);
    }

    @Override
    public void listOnNewConnections(Consumer<Optional<List<RunnerDescriptor>>> callback) {
        listFrom(Connections.NEW, "", new ArrayList<>(), new LinkedHashMap<>(), callback);
    }

    private void listFrom(
            Connections connections,
            String from,
            List<RunnerDescriptor> runners,
            Map<String, String> rejectionReasons,
            Consumer<Optional<List<RunnerDescriptor>>> callback) {
        String target =
                "/-/rows-get?table=" + DIRECTORY_TABLE + "&part=&from=" + urlEncode(from) + "&limit=" + PAGE_ROWS;
        long sentNanos = loop.nowNanos();
        read(connections, target, result -> {
            Optional<JsonNode> root = result instanceof HttpCallResult.Response response && response.status() == 200
                    ? parse(response, sentNanos)
                    : Optional.empty();
            if (root.isEmpty() || decodePage(root.get()).isEmpty()) {
                callback.accept(Optional.empty());
                return;
            }
            String lastKey = from;
            for (JsonNode row : root.get().path("rows")) {
                lastKey = row.path("key").asText();
                try {
                    runners.add(RunnerDecoder.decodeDescriptor(lastKey, decodeValue(row)));
                } catch (RejectedEntryException rejected) {
                    rejectionReasons.put(lastKey, rejected.getMessage());
                }
            }
            if (!root.get().path("truncated").asBoolean()) {
                rejectedEntries.onReading(rejectionReasons);
                callback.accept(Optional.of(runners));
            } else if (isAfter(lastKey, from)) {
                listFrom(connections, lastKey + "\u0000", runners, rejectionReasons, callback);
            } else {
                // A page that does not advance would be read again and again.
                callback.accept(Optional.empty());
            }
        });
    }

    /** Compares keys in the order of the store, which is that of their bytes. */
    private static boolean isAfter(String key, String from) {
        return Arrays.compareUnsigned(key.getBytes(StandardCharsets.UTF_8), from.getBytes(StandardCharsets.UTF_8)) > 0;
    }

    private void read(Connections connections, String target, Consumer<HttpCallResult> callback) {
        call(connections, "GET", target, null, READ_TIMEOUT, callback);
    }

    private void call(
            Connections connections,
            String method,
            String target,
            byte[] body,
            Duration timeout,
            Consumer<HttpCallResult> callback) {
        Consumer<HttpCallResult> onLoop = result -> loop.execute(() -> callback.accept(result));
        if (connections == Connections.NEW) {
            http.callOnNewConnection(method, address, target, Map.of(), body, timeout, onLoop);
        } else {
            http.call(method, address, target, Map.of(), body, timeout, onLoop);
        }
    }

    /** Parses a response, and records the reading of the store's clock in it. */
    private Optional<JsonNode> parse(HttpCallResult.Response response, long sentNanos) {
        Optional<JsonNode> root = Json.parse(response.body());
        root.map(object -> JsonNumbers.truncated(object.path(CLOCK_FIELD), 0, JsonNumbers.MAX_EXACT))
                .filter(OptionalLong::isPresent)
                .ifPresent(reading -> clock.addReading(reading.getAsLong(), sentNanos, loop.nowNanos()));
        return root;
    }

    private static String nameOf(Table table) {
        return switch (table) {
            case JOBS -> "jobs";
            case PROGRESS -> "progress";
            case ROSTER -> "roster";
            case LEASES -> "leases";
            // The platform's table for operators.
            case CONFIGURATION -> "op";
        };
    }

    private static Table tableOf(String name) {
        return switch (name) {
            case "jobs" -> Table.JOBS;
            case "progress" -> Table.PROGRESS;
            case "roster" -> Table.ROSTER;
            case "leases" -> Table.LEASES;
            case "op" -> Table.CONFIGURATION;
            default -> null;
        };
    }

    private static String partitionOf(Table table) {
        return switch (table) {
            case JOBS, PROGRESS, ROSTER -> FLEET_PARTITION;
            case LEASES -> LEASE_PARTITION;
            case CONFIGURATION -> SHARED_PARTITION;
        };
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
