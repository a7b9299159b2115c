package org.tamarackline.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.fleet.EventLoop;
import org.tamarackline.fleet.PlatformRunnerDirectory;
import org.tamarackline.fleet.RecordStore;
import org.tamarackline.fleet.StoreClock;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpReply;

/** The platform's store, and the directory of runners that lies in it. */
final class StoreClient implements RecordStore, PlatformRunnerDirectory {

    private static final Duration WRITE_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1_500);
    /** Added to the time that the store may wait for a change. */
    private static final Duration FOLLOW_TIMEOUT = Duration.ofSeconds(1);

    private static final String CLOCK_FIELD = "nowMs";
    private static final int PAGE_ROWS = 500;
    private static final String DIRECTORY_TABLE = "servers";

    /** All transactions of a fleet are ordered against each other, so all its rows lie in one part. */
    private static final String FLEET_PART = "0";

    /** The operators' and the runners' rows lie in the part without a name. */
    private static final String SHARED_PART = "";

    private final AsyncHttpClient http;
    private final EventLoop loop;
    private final StoreClock clock = new StoreClock();
    private String address;

    StoreClient(AsyncHttpClient http, EventLoop loop, String address) {
        this.http = http;
        this.loop = loop;
        this.address = address;
    }

    /** Sends further calls to another address. */
    void moveTo(String next) {
        address = next;
    }

    @Override
    public StoreClock clock() {
        return clock;
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionResult> done) {
        long sentNanos = loop.nowNanos();
        call(
                "POST",
                "/-/rows-tx",
                body(transaction),
                WRITE_TIMEOUT,
                reply -> done.accept(transactionResult(reply, sentNanos)));
    }

    private static byte[] body(Transaction transaction) {
        return Json.encodeObject(json -> {
            // The version that a row must have; 0 says that it must not exist.
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
        json.writeStringField("part", partOf(table));
        json.writeStringField("key", key);
    }

    private TransactionResult transactionResult(HttpReply reply, long sentNanos) {
        return switch (reply) {
            case HttpReply.NoAnswer none when none.neverSent() -> new TransactionResult.NotApplied(none.cause());
            case HttpReply.NoAnswer none -> new TransactionResult.Unknown(none.cause());
            case HttpReply.Answer answer ->
                switch (answer.status()) {
                    case 200 ->
                        parse(answer, sentNanos)
                                .<TransactionResult>map(root -> new TransactionResult.Applied(
                                        root.path("ver").asLong()))
                                .orElseGet(() -> new TransactionResult.Unknown("the answer cannot be read"));
                    case 412 ->
                        new TransactionResult.Conflict(
                                parse(answer, sentNanos).map(StoreClient::rows).orElse(List.of()));
                    case 400, 403, 429, 503 -> new TransactionResult.NotApplied("status " + answer.status());
                    default -> new TransactionResult.Unknown("status " + answer.status());
                };
        };
    }

    @Override
    public void read(Table table, String from, String to, Consumer<ReadResult> done) {
        // The end of the range is called a target.
        String end = to == null ? "" : "&target=" + encoded(to);
        String target = "/-/rows-get?table=" + nameOf(table) + "&part=" + partOf(table) + "&from=" + encoded(from) + end
                + "&limit=" + PAGE_ROWS;
        long sentNanos = loop.nowNanos();
        call("GET", target, null, READ_TIMEOUT, reply -> done.accept(readResult(reply, sentNanos)));
    }

    @Override
    public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> done) {
        String target = "/-/rows-feed?table=" + nameOf(table) + "&after=" + afterVersion + "&waitMs=" + wait.toMillis();
        long sentNanos = loop.nowNanos();
        call("GET", target, null, wait.plus(FOLLOW_TIMEOUT), reply -> done.accept(readResult(reply, sentNanos)));
    }

    private ReadResult readResult(HttpReply reply, long sentNanos) {
        return switch (reply) {
            case HttpReply.NoAnswer none -> new ReadResult.Failed(none.cause());
            case HttpReply.Answer answer when answer.status() == 410 -> new ReadResult.HistoryLost();
            case HttpReply.Answer answer
            when answer.status() == 200 ->
                parse(answer, sentNanos)
                        .<ReadResult>map(root -> new ReadResult.Page(
                                rows(root),
                                root.path("ver").asLong(),
                                root.path("truncated").asBoolean()))
                        .orElseGet(() -> new ReadResult.Failed("the answer cannot be read"));
            case HttpReply.Answer answer -> new ReadResult.Failed("status " + answer.status());
        };
    }

    private static List<Entry> rows(JsonNode root) {
        List<Entry> entries = new ArrayList<>();
        for (JsonNode row : root.path("rows")) {
            Table table = tableOf(row.path("table").asText());
            if (table != null) {
                entries.add(new Entry(
                        table,
                        row.path("key").asText(),
                        value(row),
                        row.path("ver").asLong(),
                        row.path("deleted").asBoolean()));
            }
        }
        return entries;
    }

    /** Returns the content of a row, empty if it is absent or not in the store's encoding. */
    private static byte[] value(JsonNode row) {
        try {
            return Base64.getDecoder().decode(row.path("value").asText(""));
        } catch (IllegalArgumentException malformed) {
            return new byte[0];
        }
    }

    @Override
    public void list(Consumer<Optional<List<RunnerDescriptor>>> done) {
        listFrom("", new ArrayList<>(), done);
    }

    private void listFrom(String from, List<RunnerDescriptor> found, Consumer<Optional<List<RunnerDescriptor>>> done) {
        String target = "/-/rows-get?table=" + DIRECTORY_TABLE + "&part=&from=" + encoded(from) + "&limit=" + PAGE_ROWS;
        long sentNanos = loop.nowNanos();
        call("GET", target, null, READ_TIMEOUT, reply -> {
            Optional<JsonNode> root = reply instanceof HttpReply.Answer answer && answer.status() == 200
                    ? parse(answer, sentNanos)
                    : Optional.empty();
            if (root.isEmpty()) {
                done.accept(Optional.empty());
                return;
            }
            String last = from;
            for (JsonNode row : root.get().path("rows")) {
                last = row.path("key").asText();
                RunnerDecoder.decodeDescriptor(last, value(row)).ifPresent(found::add);
            }
            if (root.get().path("truncated").asBoolean() && !last.equals(from)) {
                listFrom(last + "\u0000", found, done);
            } else {
                done.accept(Optional.of(found));
            }
        });
    }

    private void call(String method, String target, byte[] body, Duration timeout, Consumer<HttpReply> done) {
        http.call(method, address, target, Map.of(), body, timeout, reply -> loop.execute(() -> done.accept(reply)));
    }

    /** Reads an answer about rows, and takes note of the store's clock in it. */
    private Optional<JsonNode> parse(HttpReply.Answer answer, long sentNanos) {
        Optional<JsonNode> root = Json.parse(answer.body());
        root.map(object -> object.path(CLOCK_FIELD))
                .filter(JsonNode::isNumber)
                .ifPresent(reading -> clock.addReading(reading.asLong(), sentNanos, loop.nowNanos()));
        return root;
    }

    private static String nameOf(Table table) {
        return switch (table) {
            case JOBS -> "jobs";
            case PROGRESS -> "progress";
            case ROSTER -> "roster";
            // The operators' rows.
            case CONFIGURATION -> "op";
        };
    }

    private static Table tableOf(String name) {
        return switch (name) {
            case "jobs" -> Table.JOBS;
            case "progress" -> Table.PROGRESS;
            case "roster" -> Table.ROSTER;
            case "op" -> Table.CONFIGURATION;
            default -> null;
        };
    }

    private static String partOf(Table table) {
        return table == Table.CONFIGURATION ? SHARED_PART : FLEET_PART;
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
