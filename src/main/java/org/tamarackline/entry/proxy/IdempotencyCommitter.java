package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TransactionConflictException;

/**
 * Writes changes of idempotency records to the table; changes that queue up are combined into one transaction.
 *
 * <p>If a change conflicts, only that change fails; the others of its batch are retried without it. Thread-safe. A virtual
 * thread does the writes; it ends when no change waits.
 */
final class IdempotencyCommitter {

    /** Number of rows at which no further change is added to a transaction; the platform allows 200 rows. */
    private static final int MAX_ROWS_PER_TRANSACTION = 150;

    /** Limit for changes with large values, which bounds the size of a transaction to about 2 MB. */
    private static final int MAX_LARGE_CHANGES_PER_TRANSACTION = 30;

    /** Time between two transactions under load: this node's part of the table's write budget for idempotency records. */
    static final Duration SUSTAINED_TRANSACTION_INTERVAL = Duration.ofMillis(200);

    /** Transactions that may follow each other without delay after an idle time. */
    private static final int BURST_TRANSACTIONS = 10;

    /** Most changes that may wait; bounds the memory used during an outage of the platform. */
    private static final int MAX_WAITING_CHANGES = 512;

    private final TableStore table;
    private final MonotonicClock clock;
    private final long sustainedIntervalNanos;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Change> waiting = new ArrayDeque<>();
    private boolean writerRunning;

    /** Time up to which the transaction rate is used up; before a burst it lies up to a burst window in the past. */
    private long rateUsedUntilNanos;

    /**
     * Creates a committer without waiting changes.
     *
     * @param sustainedInterval time between two transactions under load
     */
    IdempotencyCommitter(TableStore table, MonotonicClock clock, Duration sustainedInterval) {
        this.table = table;
        this.clock = clock;
        this.sustainedIntervalNanos = sustainedInterval.toNanos();
        this.rateUsedUntilNanos = clock.nowNanos() - burstWindowNanos();
    }

    /** The outcome of a change. */
    sealed interface Outcome {
        /** It took effect. */
        record Committed() implements Outcome {}

        /** A row had another version than expected; the change took no effect. */
        record Conflict() implements Outcome {}

        /**
         * It certainly took no effect, for a reason other than a conflict.
         *
         * @param reason reason, for the error message to the caller
         */
        record NotWritten(String reason) implements Outcome {}

        /** It may have taken effect. */
        record Unknown() implements Outcome {}
    }

    private record Change(
            List<TableTransaction.Check> checks,
            List<TableTransaction.Write> writes,
            CompletableFuture<Outcome> outcome) {

        boolean checksKey(String key) {
            return checks.stream().anyMatch(check -> check.key().equals(key));
        }

        boolean isLarge() {
            return writes.size() > 1;
        }

        int rows() {
            return Math.max(checks.size(), writes.size());
        }
    }

    /** Queues a change and returns a future of its outcome. */
    @CanIgnoreReturnValue
    CompletableFuture<Outcome> commit(List<TableTransaction.Check> checks, List<TableTransaction.Write> writes) {
        Change change = new Change(List.copyOf(checks), List.copyOf(writes), new CompletableFuture<>());
        lock.lock();
        try {
            if (waiting.size() >= MAX_WAITING_CHANGES) {
                change.outcome.complete(
                        new Outcome.NotWritten("too many changes are waiting to be written to the platform"));
                return change.outcome;
            }
            waiting.add(change);
            if (!writerRunning) {
                writerRunning = true;
                Thread.ofVirtual().name("idempotency-commit").start(this::runWriter);
            }
        } finally {
            lock.unlock();
        }
        return change.outcome;
    }

    private void runWriter() {
        List<Change> batch = nextBatch();
        while (!batch.isEmpty()) {
            writeBatch(batch);
            batch = nextBatch();
        }
    }

    private List<Change> nextBatch() {
        awaitRateLimit();
        lock.lock();
        try {
            List<Change> batch = takeIndependentChanges();
            writerRunning = !batch.isEmpty();
            return batch;
        } finally {
            lock.unlock();
        }
    }

    /** Two changes of one row cannot share a transaction; the later one waits for the next batch. */
    private List<Change> takeIndependentChanges() {
        List<Change> batch = new ArrayList<>();
        Set<String> seenKeys = new HashSet<>();
        int rows = 0;
        int large = 0;
        Iterator<Change> candidates = waiting.iterator();
        while (candidates.hasNext() && rows < MAX_ROWS_PER_TRANSACTION && large < MAX_LARGE_CHANGES_PER_TRANSACTION) {
            Change change = candidates.next();
            boolean independent = change.checks.stream().noneMatch(check -> seenKeys.contains(check.key()));
            change.checks.forEach(check -> seenKeys.add(check.key()));
            if (independent) {
                candidates.remove();
                batch.add(change);
                rows += change.rows();
                large += change.isLarge() ? 1 : 0;
            }
        }
        return batch;
    }

    private void awaitRateLimit() {
        if (hasNoWaitingChange()) {
            return;
        }
        long nowNanos = clock.nowNanos();
        long burstWindowStartNanos = nowNanos - burstWindowNanos();
        if (rateUsedUntilNanos - burstWindowStartNanos < 0) {
            rateUsedUntilNanos = burstWindowStartNanos;
        }
        rateUsedUntilNanos += sustainedIntervalNanos;
        if (rateUsedUntilNanos - nowNanos > 0) {
            LockSupport.parkNanos(rateUsedUntilNanos - nowNanos);
        }
    }

    private boolean hasNoWaitingChange() {
        lock.lock();
        try {
            return waiting.isEmpty();
        } finally {
            lock.unlock();
        }
    }

    private long burstWindowNanos() {
        return BURST_TRANSACTIONS * sustainedIntervalNanos;
    }

    private void writeBatch(List<Change> batch) {
        List<Change> remaining = new ArrayList<>(batch);
        while (!remaining.isEmpty()) {
            try {
                table.transact(createTransaction(remaining));
                completeAll(remaining, new Outcome.Committed());
            } catch (TransactionConflictException e) {
                failConflicting(remaining, e.key());
            } catch (PlatformUnavailableException e) {
                completeAll(remaining, new Outcome.NotWritten(e.getMessage()));
            } catch (PlatformException | RuntimeException e) {
                completeAll(remaining, new Outcome.Unknown());
            }
        }
    }

    private static TableTransaction createTransaction(List<Change> batch) {
        List<TableTransaction.Check> checks = new ArrayList<>();
        List<TableTransaction.Write> writes = new ArrayList<>();
        for (Change change : batch) {
            checks.addAll(change.checks);
            writes.addAll(change.writes);
        }
        return new TableTransaction(UUID.randomUUID().toString(), checks, writes);
    }

    private static void failConflicting(List<Change> remaining, String key) {
        List<Change> conflicting =
                remaining.stream().filter(change -> change.checksKey(key)).toList();
        remaining.removeAll(conflicting);
        conflicting.forEach(change -> change.outcome.complete(new Outcome.Conflict()));
        if (conflicting.isEmpty()) {
            // The platform reported a conflict on a row that no change checks, so any of the changes may be the cause.
            completeAll(remaining, new Outcome.Conflict());
        }
    }

    private static void completeAll(List<Change> remaining, Outcome outcome) {
        remaining.forEach(change -> change.outcome.complete(outcome));
        remaining.clear();
    }

    /** Waits for the outcome; returns {@link Outcome.Unknown} after {@code timeout}. */
    static Outcome await(CompletableFuture<Outcome> outcome, Duration timeout) {
        return outcome.completeOnTimeout(new Outcome.Unknown(), timeout.toNanos(), TimeUnit.NANOSECONDS)
                .join();
    }
}
