package org.tamarackline.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Stores the limit of the runner leases for a leader.
 *
 * <p>The leader first replaces the record of earlier leaders by its own with the same limit. From then on no earlier
 * leader can raise the limit, because each write requires the version of the one before. An attempt to raise it that has
 * no response is followed by further ones, of which at most one takes effect, and by a read that tells which has.
 */
final class LeaseLimitStore {

    /** Callbacks to the leader. */
    interface Callbacks {

        /** Returns whether the leader has ended. */
        boolean ended();

        /** Returns whether the limit may be raised. */
        boolean leaseLimitMayBeRaised();

        /** Returns the number of nodes that follow the leader. */
        int followerCount();

        /** No earlier leader can raise the limit any more. */
        void onLeaseLimitKnown();

        /** A leader with a higher epoch has replaced the record. */
        void onLeaseLimitFenced();
    }

    private static final int MAX_UNANSWERED_ATTEMPTS = 4;

    private static final String NO_FAILURE = "";

    private final NodeServices services;
    private final EventLoop loop;
    private final LeaseLimit limit;
    private final LeaderRecord record;
    private final long epoch;
    private final Callbacks leader;
    private final LeaseLimitReader reader;
    private final UnansweredWrites unansweredRaises;
    private final AttemptTimer fenceTimer;

    /** Version of the record, 0 if there is none. */
    private long version;

    private boolean earlierLeadersFenced;
    private boolean raisesFailing;
    /** Whether an attempt has had no answer in time and none has been answered since. */
    private boolean answersMissing;

    private boolean readingBack;
    private long lastReadBackNanos;
    private int unansweredAttempts;
    private long lastAttemptNanos;

    /** When the last write was sent that stored the limit and was answered; empty if there is none. */
    private OptionalLong storedNanos = OptionalLong.empty();

    private int failedRaises;
    private String lastFailure = NO_FAILURE;
    private boolean reportedRunningOut;

    LeaseLimitStore(NodeServices services, LeaseLimit limit, LeaderRecord record, Callbacks leader) {
        this.services = services;
        this.loop = services.loop();
        this.limit = limit;
        this.record = record;
        this.epoch = record.epoch();
        this.leader = leader;
        this.reader = new LeaseLimitReader(services);
        this.unansweredRaises = new UnansweredWrites(loop);
        this.fenceTimer = new AttemptTimer(loop);
    }

    /** Reads the limit, and raises it from time to time until the leader ends. */
    void start() {
        read();
    }

    /** Returns the time since the last write was sent that stored the limit and was answered; empty if there is none. */
    OptionalLong ageMs() {
        return storedNanos.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of((loop.nowNanos() - storedNanos.getAsLong()) / 1_000_000);
    }

    private void read() {
        if (leader.ended()) {
            return;
        }
        reader.read(result -> {
            if (leader.ended()) {
                return;
            }
            if (result instanceof RecordStore.ReadResult.Page page) {
                onEntry(page.entries().stream().findFirst());
            } else {
                services.log().storeState("takeover-read-failing", result.toString());
                loop.schedule(FleetConstants.STORE_RETRY_DELAY, this::read);
            }
        });
    }

    /** Handles the record that the store has. */
    private void onEntry(Optional<RecordStore.Entry> entry) {
        LeaseLimitRecord stored = entry.flatMap(this::decode).orElse(LeaseLimitRecord.NONE);
        if (stored.epoch() > epoch) {
            leader.onLeaseLimitFenced();
            return;
        }
        version = entry.filter(present -> !present.removed())
                .map(RecordStore.Entry::version)
                .orElse(0L);
        boolean ofLastLeaders = stored.epoch() + 1 >= record.leasesLimitedSinceEpoch();
        limit.onStored(ofLastLeaders ? stored.limitStoreMs() : LeaseLimitRecord.UNKNOWN);
        if (stored.epoch() == epoch) {
            onEarlierLeadersFenced();
        } else {
            fenceEarlierLeaders();
        }
    }

    private Optional<LeaseLimitRecord> decode(RecordStore.Entry entry) {
        if (entry.removed()) {
            return Optional.empty();
        }
        try {
            LeaseLimitRecord stored = RecordCodec.decodeLeaseLimit(entry.value());
            if (stored.epoch() <= entry.version()) {
                return Optional.of(stored);
            }
            // Each claim raises the epoch by one in a transaction of its own, so no node wrote this record.
            services.log().skippedRecord(entry.key(), "the epoch is higher than the record's version");
            return Optional.empty();
        } catch (CorruptRecordException corrupt) {
            services.log().skippedRecord(entry.key(), corrupt.getMessage());
            return Optional.empty();
        }
    }

    private void fenceEarlierLeaders() {
        long requiredVersion = version;
        long attempt = fenceTimer.start(HedgedRead.ATTEMPT_TIMEOUT, this::repeatFence);
        write(limit.storedMs(), result -> {
            boolean latest = fenceTimer.end(attempt);
            if (!earlierLeadersFenced && version == requiredVersion) {
                onFenceResult(result, latest);
            }
        });
    }

    /**
     * Reads whether an attempt without an answer has taken effect, and otherwise repeats it on a new connection. All attempts
     * require the same version, so one takes effect.
     */
    private void repeatFence() {
        if (!leader.ended() && !earlierLeadersFenced) {
            services.log().repeated("fence-repeated", record, HedgedRead.ATTEMPT_TIMEOUT.toMillis());
            answersMissing = true;
            read();
        }
    }

    private void onFenceResult(RecordStore.TransactionResult result, boolean latest) {
        switch (result) {
            case RecordStore.TransactionResult.Applied applied -> {
                version = applied.version();
                onEarlierLeadersFenced();
            }
            case RecordStore.TransactionResult.Conflict conflict -> onConflict(conflict);
            default -> {
                if (latest) {
                    loop.schedule(FleetConstants.STORE_RETRY_DELAY, this::read);
                }
            }
        }
    }

    private void onEarlierLeadersFenced() {
        if (earlierLeadersFenced) {
            return;
        }
        earlierLeadersFenced = true;
        limit.onEarlierLeadersFenced();
        leader.onLeaseLimitKnown();
        raiseWhenDue();
    }

    private void raiseWhenDue() {
        if (leader.ended()) {
            return;
        }
        loop.schedule(FleetConstants.LEASE_LIMIT_CHECK_INTERVAL, this::raiseWhenDue);
        reportRunningOut();
        if (limit.due() && (leader.leaseLimitMayBeRaised() || limit.runsOut()) && mayAttempt()) {
            limit.raisedMs().ifPresent(this::raise);
        }
        if (readBackDue()) {
            readBack();
        }
    }

    private boolean readBackDue() {
        long timeoutMs = HedgedRead.ATTEMPT_TIMEOUT.toMillis();
        return !readingBack
                && unansweredRaises.forMs() >= timeoutMs
                && loop.nowNanos() - lastReadBackNanos >= HedgedRead.ATTEMPT_TIMEOUT.toNanos();
    }

    private void reportRunningOut() {
        boolean runsOut = limit.runsOut();
        if (runsOut && !reportedRunningOut) {
            services.log().leaseLimitRunsOut(record, limit.remainingMs(), ageMs(), failedRaises, lastFailure);
        }
        reportedRunningOut = runsOut;
    }

    private boolean mayAttempt() {
        long sinceLastNanos = loop.nowNanos() - lastAttemptNanos;
        return (unansweredAttempts == 0 && !raisesFailing)
                || (unansweredAttempts < MAX_UNANSWERED_ATTEMPTS
                        && sinceLastNanos >= FleetConstants.LEASE_LIMIT_INTERVAL.toNanos());
    }

    private void raise(long raisedMs) {
        unansweredAttempts++;
        lastAttemptNanos = loop.nowNanos();
        long requiredVersion = version;
        long sentNanos = lastAttemptNanos;
        unansweredRaises.onSent();
        write(raisedMs, result -> {
            unansweredAttempts--;
            if (!(result instanceof RecordStore.TransactionResult.Unknown)) {
                unansweredRaises.onAnswered(sentNanos);
            }
            logFailures(result);
            if (result instanceof RecordStore.TransactionResult.Applied applied) {
                version = applied.version();
                limit.onStored(raisedMs);
                onRaised(sentNanos);
            } else if (result instanceof RecordStore.TransactionResult.Conflict conflict
                    && requiredVersion == version) {
                // An earlier attempt whose response was lost has taken effect, or a successor has fenced this leader.
                onConflict(conflict);
            }
        });
    }

    /** Reads whether an attempt without an answer has taken effect; the answers may be lost while reads are answered. */
    private void readBack() {
        answersMissing = true;
        readingBack = true;
        lastReadBackNanos = loop.nowNanos();
        reader.read(result -> {
            readingBack = false;
            if (!leader.ended() && result instanceof RecordStore.ReadResult.Page page) {
                page.entries().stream()
                        .filter(entry -> entry.version() > version)
                        .findFirst()
                        .ifPresent(this::onReadBack);
            }
        });
    }

    private void onReadBack(RecordStore.Entry entry) {
        onEntry(Optional.of(entry));
        if (!leader.ended()) {
            services.log().leaseLimitReadBack(record, limit.remainingMs());
        }
    }

    private void onRaised(long sentNanos) {
        storedNanos = OptionalLong.of(sentNanos);
        failedRaises = 0;
        lastFailure = NO_FAILURE;
    }

    private void logFailures(RecordStore.TransactionResult result) {
        boolean failed = !(result instanceof RecordStore.TransactionResult.Applied)
                && !(result instanceof RecordStore.TransactionResult.Conflict);
        if (failed) {
            failedRaises++;
            lastFailure = result.toString();
        }
        if (failed != raisesFailing) {
            raisesFailing = failed;
            services.log().storeState(failed ? "lease-limit-failing" : "lease-limit-back", result.toString());
        }
    }

    private void onConflict(RecordStore.TransactionResult.Conflict conflict) {
        Optional<RecordStore.Entry> current = conflict.current().stream()
                .filter(entry -> entry.key().equals(LeaseLimitRecord.KEY))
                .findFirst();
        if (current.isPresent()) {
            onEntry(current);
        } else {
            read();
        }
    }

    /** Writes the limit; over a new connection if answers are missing, because those that are open may have gone silent. */
    private void write(long limitStoreMs, Consumer<RecordStore.TransactionResult> callback) {
        long sentNanos = loop.nowNanos();
        byte[] value = RecordCodec.encodeLeaseLimit(new LeaseLimitRecord(epoch, limitStoreMs, leader.followerCount()));
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.LEASES, LeaseLimitRecord.KEY, version)),
                List.of(new RecordStore.Write(RecordStore.Table.LEASES, LeaseLimitRecord.KEY, value)));
        Consumer<RecordStore.TransactionResult> onResult = result -> {
            services.metrics()
                    .transactionCompleted(
                            FleetMetrics.TransactionPurpose.LEASE_LIMIT,
                            FleetMetrics.TransactionOutcome.of(result),
                            loop.nowNanos() - sentNanos);
            answersMissing &= result instanceof RecordStore.TransactionResult.Unknown;
            if (!leader.ended()) {
                callback.accept(result);
            }
        };
        if (answersMissing) {
            services.store().transactOnNewConnection(transaction, onResult);
        } else {
            services.store().transact(transaction, onResult);
        }
    }
}
