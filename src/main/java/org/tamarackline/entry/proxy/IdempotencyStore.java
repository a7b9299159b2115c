package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.idempotency.IdempotencyDecision;
import org.tamarackline.core.idempotency.IdempotencyKey;
import org.tamarackline.core.idempotency.IdempotencyRecord;
import org.tamarackline.core.idempotency.IdempotencyRules;
import org.tamarackline.core.idempotency.RecordedResponse;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.Executed;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.TableTransaction;

/**
 * Stores a record for each request with an idempotency key in the platform's table, so that such a request is sent at most
 * once to a runner and repeats of it get the recorded response.
 *
 * <p>Thread-safe. {@link #claim} blocks until the platform has responded or a timeout has passed.
 */
@Singleton
public final class IdempotencyStore {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Bytes of a response body in one row; encoded in base64 (4/3 of the size) they stay below the platform's limit of 64 KB. */
    private static final int BODY_PART_BYTES = 45_000;

    /**
     * Maximum number of attempts to record a response. There are several, so that a short outage of the platform does not
     * leave the outcome of the key unknown.
     */
    private static final int RECORD_ATTEMPTS = 5;

    private static final Duration RECORD_RETRY_DELAY = Duration.ofSeconds(1);

    private final TableStore table;
    private final Cluster cluster;
    private final Duration requestTimeout;
    private final IdempotencyCommitter committer;
    private final Clock wallClock = Clock.systemUTC();
    private final ObjectMapper json = new ObjectMapper();

    /** Creates the store. */
    @Inject
    public IdempotencyStore(TableStore table, Cluster cluster, EntrySettings settings, MonotonicClock clock) {
        this(
                table,
                cluster,
                settings,
                new IdempotencyCommitter(table, clock, IdempotencyCommitter.SUSTAINED_TRANSACTION_INTERVAL));
    }

    IdempotencyStore(TableStore table, Cluster cluster, EntrySettings settings, IdempotencyCommitter committer) {
        this.table = table;
        this.cluster = cluster;
        this.requestTimeout = settings.cluster().requestTimeout();
        this.committer = committer;
    }

    /** The result of claiming an idempotency key. */
    public sealed interface ClaimResult {

        /** Returns the recorded response to replay, empty if the request may be sent to a runner. */
        default Optional<RoutedResponse> replayedResponse() {
            return Optional.empty();
        }

        /**
         * This request claimed the key and may be sent once.
         *
         * @param claim claim under which the response is recorded, or which is withdrawn
         */
        record Claimed(Claim claim) implements ClaimResult {}

        /**
         * An earlier request with the key has a recorded response.
         *
         * @param response recorded response
         */
        record Replay(RoutedResponse response) implements ClaimResult {
            @Override
            public Optional<RoutedResponse> replayedResponse() {
                return Optional.of(response);
            }
        }
    }

    /**
     * The right to send the request with a key once.
     *
     * @param key idempotency key of the request
     * @param startedRecord record that the claim wrote
     * @param version version of the record's row
     */
    public record Claim(IdempotencyKey key, IdempotencyRecord startedRecord, long version) {}

    /**
     * Claims the key, or returns the response that is recorded under it.
     *
     * @param digest digest of the request, to detect that a key is reused for another request
     * @throws RequestException if the request must not be sent and there is no response to replay
     */
    public ClaimResult claim(IdempotencyKey key, String digest) throws RequestException {
        if (cluster.membershipStatus() != MembershipStatus.CONFIRMED) {
            throw unavailable("the platform cannot be reached, so the key cannot be recorded");
        }
        // Most keys are new, so the row is inserted without reading it first.
        Optional<ClaimResult> claimed = tryClaim(key, digest, 0);
        return claimed.isPresent() ? claimed.get() : claimOrReplay(key, digest);
    }

    private ClaimResult claimOrReplay(IdempotencyKey key, String digest) throws RequestException {
        Optional<Row> row = read(key.rowKey());
        Optional<IdempotencyRecord> found = row.isEmpty() ? Optional.empty() : Optional.of(parseRecord(row.get()));
        long version = row.map(Row::version).orElse(0L);
        return switch (IdempotencyRules.decide(found, version, digest, wallClock.millis())) {
            case IdempotencyDecision.Claim claim ->
                tryClaim(key, digest, claim.version()).orElseThrow(IdempotencyStore::inProgressOrUnknown);
            case IdempotencyDecision.Replay replay -> new ClaimResult.Replay(readResponse(key, replay.response()));
            case IdempotencyDecision.InProgressOrUnknown unknown -> throw inProgressOrUnknown();
            case IdempotencyDecision.ResponseNotRecorded notRecorded ->
                throw new RequestException(
                        RequestErrorCode.ANSWER_NOT_RECORDED,
                        Executed.YES,
                        "a request with this key was executed, but its response was too large to be recorded");
            case IdempotencyDecision.KeyReused reused ->
                throw RequestException.notExecuted(
                        RequestErrorCode.KEY_REUSED, "this key was used for another request; choose a new key");
        };
    }

    /** Returns empty if the row has a version other than {@code version}. */
    private Optional<ClaimResult> tryClaim(IdempotencyKey key, String digest, long version) throws RequestException {
        String token = UUID.randomUUID().toString();
        IdempotencyRecord startedRecord = IdempotencyRecord.started(cluster.self(), token, digest, wallClock.millis());
        CompletableFuture<IdempotencyCommitter.Outcome> outcome = committer.commit(
                List.of(new TableTransaction.Check(key.rowKey(), version)),
                List.of(new TableTransaction.Write(key.rowKey(), json.valueToTree(startedRecord))));
        Claim claim = new Claim(key, startedRecord, version + 1);
        // The timeout completes the future, so await gets a copy: withdrawIfInserted needs the real outcome.
        return switch (IdempotencyCommitter.await(outcome.copy(), requestTimeout.multipliedBy(2))) {
            case IdempotencyCommitter.Outcome.Committed committed -> Optional.of(new ClaimResult.Claimed(claim));
            case IdempotencyCommitter.Outcome.Conflict conflict -> Optional.empty();
            case IdempotencyCommitter.Outcome.NotWritten notWritten -> throw unavailable(notWritten.reason());
            case IdempotencyCommitter.Outcome.Unknown unknown -> {
                Thread.ofVirtual().start(() -> withdrawIfInserted(claim, outcome));
                throw unavailable("it is unknown whether the platform recorded the key");
            }
        };
    }

    /**
     * Removes the record of a claim whose write had an unknown outcome, if the write took effect. Compares the token first,
     * because another request may have written its record with the same version.
     */
    private void withdrawIfInserted(Claim claim, CompletableFuture<IdempotencyCommitter.Outcome> outcome) {
        outcome.join();
        try {
            Optional<Row> row = table.get(claim.key().rowKey());
            if (row.isPresent()
                    && parseRecord(row.get())
                            .token()
                            .equals(claim.startedRecord().token())) {
                withdraw(claim);
            }
        } catch (PlatformUnavailableException | RequestException e) {
            LOG.atFine().withCause(e).log(
                    "the record of an idempotency key whose claim has an unknown outcome could not be removed; it will expire");
        }
    }

    /**
     * Removes the record of a request that was not sent and never will be, so that a repeat can be executed.
     *
     * <p>A removal with an unknown outcome is not retried: if it took effect, a new request may have inserted its record with
     * the same version, and a second removal would delete that record.
     */
    public void withdraw(Claim claim) {
        committer.commit(
                List.of(new TableTransaction.Check(claim.key().rowKey(), claim.version())),
                List.of(new TableTransaction.Write(claim.key().rowKey(), null)));
    }

    /**
     * Records a response in the background. Until it is recorded, a repeat of the request fails, because the outcome of the
     * first one is not known.
     *
     * @param body whole body; {@code Optional.empty()} if the response is too large to be recorded
     */
    public void recordResponse(Claim claim, int status, List<HeaderField> headers, Optional<byte[]> body) {
        List<TableTransaction.Write> writes = new ArrayList<>();
        writes.add(new TableTransaction.Write(
                claim.key().rowKey(), json.valueToTree(createRecord(claim, status, headers, body))));
        for (int part = 0; body.isPresent() && part < partCount(body.get()); part++) {
            writes.add(new TableTransaction.Write(claim.key().bodyRowKey(part), encodePart(body.get(), part)));
        }
        Thread.ofVirtual().name("idempotency-record").start(() -> writeWithRetries(claim, writes));
    }

    private static IdempotencyRecord createRecord(
            Claim claim, int status, List<HeaderField> headers, Optional<byte[]> body) {
        if (body.isEmpty()) {
            return claim.startedRecord().withResponseTooLarge();
        }
        List<RecordedResponse.RecordedHeader> recordedHeaders = headers.stream()
                .map(field -> new RecordedResponse.RecordedHeader(field.name(), field.value()))
                .toList();
        return claim.startedRecord().withResponse(new RecordedResponse(status, recordedHeaders, partCount(body.get())));
    }

    private void writeWithRetries(Claim claim, List<TableTransaction.Write> writes) {
        List<TableTransaction.Check> checks =
                List.of(new TableTransaction.Check(claim.key().rowKey(), claim.version()));
        for (int attempt = 1; attempt <= RECORD_ATTEMPTS; attempt++) {
            IdempotencyCommitter.Outcome outcome =
                    committer.commit(checks, writes).join();
            // Nothing else changes the row before the record expires, so a conflict means that an earlier attempt with
            // unknown outcome took effect.
            if (outcome instanceof IdempotencyCommitter.Outcome.Committed
                    || outcome instanceof IdempotencyCommitter.Outcome.Conflict) {
                return;
            }
            sleep(RECORD_RETRY_DELAY.multipliedBy(attempt));
        }
        LOG.atWarning().log(
                "the response to a request with an idempotency key could not be recorded; repeats of the request will fail,"
                        + " because its outcome is unknown");
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int partCount(byte[] body) {
        return (body.length + BODY_PART_BYTES - 1) / BODY_PART_BYTES;
    }

    private static JsonNode encodePart(byte[] body, int part) {
        int start = part * BODY_PART_BYTES;
        byte[] bytes = Arrays.copyOfRange(body, start, Math.min(body.length, start + BODY_PART_BYTES));
        return TextNode.valueOf(Base64.getEncoder().encodeToString(bytes));
    }

    private RoutedResponse readResponse(IdempotencyKey key, RecordedResponse recorded) throws RequestException {
        byte[] body = new byte[0];
        for (int part = 0; part < recorded.bodyParts(); part++) {
            Row row = read(key.bodyRowKey(part)).orElseThrow(IdempotencyStore::bodyPartMissing);
            byte[] next = decodePart(row);
            byte[] joined = Arrays.copyOf(body, body.length + next.length);
            System.arraycopy(next, 0, joined, body.length, next.length);
            body = joined;
        }
        return new ReplayedResponse(recorded, body);
    }

    private static byte[] decodePart(Row row) throws RequestException {
        try {
            return row.value().binaryValue();
        } catch (IOException e) {
            throw unreadable(row);
        }
    }

    private Optional<Row> read(String rowKey) throws RequestException {
        try {
            return table.get(rowKey);
        } catch (PlatformUnavailableException e) {
            throw new RequestException(
                    RequestErrorCode.PLATFORM_UNAVAILABLE,
                    Executed.UNKNOWN,
                    "an earlier request used this key, but its record cannot be read now");
        }
    }

    private IdempotencyRecord parseRecord(Row row) throws RequestException {
        try {
            return json.treeToValue(row.value(), IdempotencyRecord.class);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw unreadable(row);
        }
    }

    private static RequestException unreadable(Row row) {
        LOG.atSevere().log("row \"%s\" of the table cannot be read", row.key());
        return new RequestException(
                RequestErrorCode.IN_PROGRESS_OR_UNKNOWN, Executed.UNKNOWN, "the record of this key cannot be read");
    }

    private static RequestException inProgressOrUnknown() {
        return new RequestException(
                RequestErrorCode.IN_PROGRESS_OR_UNKNOWN,
                Executed.UNKNOWN,
                "a request with this key is running, or its outcome is unknown");
    }

    /** The record of the response shows that the request was executed, also if its body is not complete. */
    private static RequestException bodyPartMissing() {
        return new RequestException(
                RequestErrorCode.ANSWER_NOT_RECORDED,
                Executed.YES,
                "a request with this key was executed, but a part of its recorded response is missing");
    }

    private static RequestException unavailable(String detail) {
        return RequestException.notExecuted(RequestErrorCode.PLATFORM_UNAVAILABLE, detail);
    }
}
