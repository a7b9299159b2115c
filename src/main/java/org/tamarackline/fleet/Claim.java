package org.tamarackline.fleet;

import java.util.Optional;
import java.util.Random;

/**
 * Claim of the leadership by this process, which may be sent several times. All attempts write the same record and require
 * the same version of the present one, so at most one takes effect, however late the store executes them.
 */
final class Claim {

    /** Receives what becomes of a claim, on the event loop. */
    interface Callbacks {

        /** Returns whether the node still waits for the outcome of a claim. */
        boolean awaits(Claim claim);

        /**
         * The record of the claim is stored.
         *
         * @param version version of the record
         * @param sentNanos when the attempt was sent whose answer tells so
         */
        void onClaimStored(Claim claim, long version, long sentNanos);

        /** The latest attempt of a claim failed, and an earlier one may have taken effect. */
        void onClaimFailed(Claim claim, RecordStore.TransactionResult result);

        /** The latest attempt of a claim has had no answer in time; its connection may have gone silent. */
        void onClaimUnanswered(Claim claim);
    }

    private final LeaderRecordStore records;
    private final EventLoop loop;
    private final DecisionLog log;
    private final LeaderRecord record;
    private final long replacedVersion;
    private final String reason;
    private final Callbacks callbacks;
    private final AttemptTimer timer;
    private final RetryBackoff backoff;

    /** Whether the latest attempt may still take effect. */
    private boolean unanswered;

    private long sentNanos;

    /**
     * Creates a claim that is not sent yet.
     *
     * @param replacedVersion required version of the present record, 0 if there is none
     * @param reason why the node claims the leadership
     */
    Claim(
            NodeServices services,
            LeaderRecordStore records,
            LeaderRecord record,
            long replacedVersion,
            String reason,
            Callbacks callbacks) {
        this.records = records;
        this.loop = services.loop();
        this.log = services.log();
        this.record = record;
        this.replacedVersion = replacedVersion;
        this.reason = reason;
        this.callbacks = callbacks;
        this.timer = new AttemptTimer(loop);
        this.backoff = RetryBackoff.forReads(new Random(record.incarnation()));
    }

    LeaderRecord record() {
        return record;
    }

    String reason() {
        return reason;
    }

    /** Returns whether another claim would send the same transactions as this one. */
    boolean isSameAs(LeaderRecord otherRecord, long otherVersion) {
        return replaces(otherVersion) && record.equals(otherRecord);
    }

    /** Returns whether the claim can still take effect if the present record has a version. */
    boolean replaces(long version) {
        return replacedVersion == version;
    }

    /** Returns whether the latest attempt has ended without an answer, so that the claim may still take effect. */
    boolean unanswered() {
        return unanswered;
    }

    /** Returns whether a record was written by this claim. */
    boolean wrote(LeaderRecord stored) {
        return stored.incarnation() == record.incarnation() && stored.epoch() == record.epoch();
    }

    /** Sends an attempt; over a new connection if the one before has had no answer. */
    void send() {
        boolean repeated = unanswered;
        if (repeated) {
            log.repeated("claim-repeated", record, (loop.nowNanos() - sentNanos) / 1_000_000);
        }
        unanswered = false;
        sentNanos = loop.nowNanos();
        long attemptSentNanos = sentNanos;
        long attempt = timer.start(backoff.nextAtLeast(HedgedRead.ATTEMPT_TIMEOUT), this::onOverdue);
        records.replace(
                record,
                replacedVersion,
                FleetMetrics.TransactionPurpose.CLAIM,
                repeated,
                result -> onResult(attempt, attemptSentNanos, result));
    }

    private void onOverdue() {
        if (callbacks.awaits(this)) {
            unanswered = true;
            callbacks.onClaimUnanswered(this);
        }
    }

    private void onResult(long attempt, long attemptSentNanos, RecordStore.TransactionResult result) {
        boolean latest = timer.end(attempt);
        if (!callbacks.awaits(this)) {
            return;
        }
        Optional<Long> version = storedVersion(result);
        if (version.isPresent()) {
            callbacks.onClaimStored(this, version.get(), attemptSentNanos);
        } else if (latest) {
            unanswered = result instanceof RecordStore.TransactionResult.Unknown;
            callbacks.onClaimFailed(this, result);
        }
    }

    /** Returns the version of the claim's record; empty if a result does not tell that it is stored. */
    private Optional<Long> storedVersion(RecordStore.TransactionResult result) {
        return switch (result) {
            case RecordStore.TransactionResult.Applied applied -> Optional.of(applied.version());
            case RecordStore.TransactionResult.Conflict conflict ->
                LeaderRecordStore.leaderEntry(conflict).filter(this::wasWritten).map(RecordStore.Entry::version);
            default -> Optional.empty();
        };
    }

    private boolean wasWritten(RecordStore.Entry entry) {
        try {
            return wrote(LeaderRecordStore.decode(entry));
        } catch (CorruptRecordException corrupt) {
            // The read that follows logs it.
            return false;
        }
    }
}
