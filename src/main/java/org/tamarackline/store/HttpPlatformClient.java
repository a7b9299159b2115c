package org.tamarackline.store;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.http.BlockingHttpClient;
import org.tamarackline.http.BlockingHttpClient.CallFailedException;
import org.tamarackline.http.BlockingHttpClient.CompleteResponse;

/**
 * Accesses the platform's table, object store and VM list over HTTP.
 *
 * <p>The request timeout covers a whole call; for a transaction, it includes the reads of the token that resolve an unknown
 * outcome. A transaction is reported as not applied only if no byte of it was sent or the platform responded that it was not
 * applied; a missing token is no proof, because the transaction may still be in transit. {@link #objects} returns the
 * object store as a separate object, because its read has the same signature as the table's.
 */
public final class HttpPlatformClient implements TableStore, VmDirectory, AutoCloseable {

    private static final JsonMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final TypeReference<List<Row>> ROWS = new TypeReference<>() {};
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private static final int MAX_CONNECTIONS = 32;

    /** Maximum size of a response: a scan page of 500 rows of 64 KB each. */
    private static final int MAX_RESPONSE_BYTES = 33 * 1024 * 1024;

    private static final int MAX_TOKEN_READS = 3;
    private static final Duration TOKEN_READ_DELAY = Duration.ofMillis(40);

    /** Fraction of the request timeout that a transaction may take before its token is read. */
    private static final double TRANSACT_TIMEOUT_SHARE = 0.65;

    private final String baseUrl;
    private final Duration requestTimeout;
    private final BlockingHttpClient http;
    private final MonotonicClock clock = MonotonicClock.system();

    /**
     * Creates a client; no connection is opened before the first call.
     *
     * @param baseUrl base URL of the platform, such as {@code http://127.0.0.1:8080}
     * @param requestTimeout maximum duration of each call
     */
    public HttpPlatformClient(String baseUrl, Duration requestTimeout) {
        this.baseUrl = baseUrl.endsWith("/") ? baseUrl.substring(0, baseUrl.length() - 1) : baseUrl;
        this.requestTimeout = requestTimeout;
        this.http = new BlockingHttpClient(
                "platform-call-timeout",
                new BlockingHttpClient.Limits(MAX_CONNECTIONS, MAX_CONNECTIONS, MAX_RESPONSE_BYTES, requestTimeout));
    }

    @Override
    public Optional<Row> get(String key) throws PlatformUnavailableException {
        CompleteResponse response = call("GET", "/table/rows/" + urlEncode(key), null);
        if (response.status() == NOT_FOUND) {
            return Optional.empty();
        }
        return Optional.of(parse(expectOk(response), new TypeReference<Row>() {}));
    }

    @Override
    public List<Row> scan(String prefix, String after, int limit) throws PlatformUnavailableException {
        String path = "/table/scan?prefix=%s&after=%s&limit=%d".formatted(urlEncode(prefix), urlEncode(after), limit);
        return parse(expectOk(call("GET", path, null)), ROWS);
    }

    @Override
    public void transact(TableTransaction transaction)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        long deadlineNanos = clock.nowNanos() + requestTimeout.toNanos();
        byte[] body = encode(transaction);
        Duration sendTimeout = Duration.ofNanos((long) (requestTimeout.toNanos() * TRANSACT_TIMEOUT_SHARE));
        CompleteResponse response;
        try {
            response = http.send("POST", uri("/table/transact"), body, sendTimeout);
        } catch (CallFailedException failure) {
            if (!failure.possiblySent()) {
                throw new PlatformUnavailableException("the platform could not be reached; nothing was sent", failure);
            }
            resolveOutcome(transaction.token(), deadlineNanos, failure);
            return;
        }
        if (response.status() != OK) {
            handleErrorStatus(transaction.token(), deadlineNanos, response);
        }
    }

    @Override
    public boolean wasApplied(String token) throws PlatformUnavailableException {
        return wasApplied(token, requestTimeout);
    }

    @Override
    public List<VmRecord> list() throws PlatformUnavailableException {
        JsonNode entries;
        try {
            entries = JSON.readTree(expectOk(call("GET", "/vms", null)).body());
        } catch (IOException malformed) {
            throw new PlatformUnavailableException("the platform's response cannot be decoded", malformed);
        }
        if (!entries.isArray()) {
            throw new PlatformUnavailableException("the VM list is not an array", null);
        }
        List<VmRecord> vms = new ArrayList<>();
        for (JsonNode entry : entries) {
            decodeVm(entry).ifPresent(vms::add);
        }
        return vms;
    }

    /** Skips an entry that does not describe a VM: the other VMs must still be known. */
    private static Optional<VmRecord> decodeVm(JsonNode entry) {
        try {
            if (!entry.isObject()) {
                throw new IllegalArgumentException("it is not an object");
            }
            return Optional.of(JSON.treeToValue(entry, VmEntry.class).toRecord());
        } catch (IOException | IllegalArgumentException invalid) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                    "skipping an entry of the VM list that is not valid: %s", invalid.getMessage());
            return Optional.empty();
        }
    }

    /** Returns the object store of the same platform. */
    public ObjectStore objects() {
        return new HttpObjectStore();
    }

    @Override
    public void close() {
        http.close();
    }

    private void handleErrorStatus(String token, long deadlineNanos, CompleteResponse response)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        if (response.status() == CONFLICT) {
            TableResponses.Conflict conflict = parseConflict(token, response);
            throw new TransactionConflictException(conflict.key(), conflict.version());
        }
        if (confirmsNotApplied(response)) {
            throw unexpectedStatus(response);
        }
        resolveOutcome(token, deadlineNanos, unexpectedStatus(response));
    }

    /** Returns normally if a read of the token shows that the transaction was applied. */
    private void resolveOutcome(String token, long deadlineNanos, Exception cause) throws OutcomeUnknownException {
        for (int reads = 0; reads < MAX_TOKEN_READS; reads++) {
            Duration remaining = Duration.ofNanos(deadlineNanos - clock.nowNanos());
            if (!remaining.isPositive() || Thread.currentThread().isInterrupted()) {
                break;
            }
            try {
                if (wasApplied(token, remaining)) {
                    return;
                }
            } catch (PlatformUnavailableException unavailable) {
                cause.addSuppressed(unavailable);
            }
            delayNextTokenRead(deadlineNanos);
        }
        throw new OutcomeUnknownException(token, cause);
    }

    private void delayNextTokenRead(long deadlineNanos) {
        long remainingNanos = deadlineNanos - clock.nowNanos();
        if (remainingNanos <= TOKEN_READ_DELAY.toNanos()) {
            return;
        }
        try {
            Thread.sleep(TOKEN_READ_DELAY);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean wasApplied(String token, Duration timeout) throws PlatformUnavailableException {
        CompleteResponse response = call("GET", "/table/tokens/" + urlEncode(token), null, timeout);
        if (response.status() == NOT_FOUND) {
            return false;
        }
        expectOk(response);
        return true;
    }

    private CompleteResponse call(String method, String path, byte[] body) throws PlatformUnavailableException {
        return call(method, path, body, requestTimeout);
    }

    private CompleteResponse call(String method, String path, byte[] body, Duration timeout)
            throws PlatformUnavailableException {
        try {
            return http.send(method, uri(path), body, timeout);
        } catch (CallFailedException failure) {
            throw new PlatformUnavailableException(method + " request to the platform failed", failure);
        }
    }

    private URI uri(String path) {
        return URI.create(baseUrl + path);
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static boolean confirmsNotApplied(CompleteResponse response) {
        try {
            TableResponses.Failure failure = JSON.readValue(response.body(), TableResponses.Failure.class);
            return failure != null && Boolean.FALSE.equals(failure.applied());
        } catch (IOException notFromPlatform) {
            return false;
        }
    }

    private static CompleteResponse expectOk(CompleteResponse response) throws PlatformUnavailableException {
        if (response.status() != OK && response.status() != NO_CONTENT) {
            throw unexpectedStatus(response);
        }
        return response;
    }

    private static PlatformUnavailableException unexpectedStatus(CompleteResponse response) {
        return new PlatformUnavailableException(
                "the platform responded with status %d".formatted(response.status()), null);
    }

    private static <T> T parse(CompleteResponse response, TypeReference<T> type) throws PlatformUnavailableException {
        try {
            return JSON.readValue(response.body(), type);
        } catch (IOException malformed) {
            throw new PlatformUnavailableException("the platform's response cannot be decoded", malformed);
        }
    }

    private static TableResponses.Conflict parseConflict(String token, CompleteResponse response)
            throws OutcomeUnknownException {
        try {
            return JSON.readValue(response.body(), TableResponses.Conflict.class);
        } catch (IOException malformed) {
            throw new OutcomeUnknownException(token, malformed);
        }
    }

    private static byte[] encode(TableTransaction transaction) {
        try {
            return JSON.writeValueAsBytes(transaction);
        } catch (IOException impossible) {
            throw new IllegalArgumentException("transaction cannot be encoded as JSON", impossible);
        }
    }

    private final class HttpObjectStore implements ObjectStore {

        @Override
        public Optional<byte[]> get(String key) throws PlatformUnavailableException {
            CompleteResponse response = call("GET", path(key), null);
            if (response.status() == NOT_FOUND) {
                return Optional.empty();
            }
            return Optional.of(expectOk(response).body());
        }

        @Override
        public void put(String key, byte[] content) throws PlatformUnavailableException {
            expectOk(call("PUT", path(key), content));
        }

        @Override
        public void delete(String key) throws PlatformUnavailableException {
            CompleteResponse response = call("DELETE", path(key), null);
            if (response.status() != NOT_FOUND) {
                expectOk(response);
            }
        }

        private String path(String key) {
            return "/objects/" + urlEncode(key);
        }
    }
}
