package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** In-memory store on the test's event loop, which may be slow, reject calls, or lose its responses. */
final class FakeRecordStore implements RecordStore {

    private static final Duration TIMEOUT = Duration.ofMillis(1_200);

    /** Initial time of the store's clock, so that it differs from the loop's clock. */
    private static final long CLOCK_START_MS = 5_000_000;

    private final ManualLoop loop;
    private final StoreClock clock = new StoreClock();
    private final Map<Table, TreeMap<String, Entry>> tables = new EnumMap<>(Table.class);
    private Duration latency = Duration.ofMillis(10);
    private Duration transactionLatency = latency;
    private Duration transactionTime = Duration.ZERO;
    private Duration maxTransactionWait = Duration.ZERO;
    private long busyUntilNanos;
    private boolean rejecting;
    private boolean historyLost;
    private boolean conflictsWithoutRows;
    private boolean openConnectionsSilent;
    private int pageRows = Integer.MAX_VALUE;
    private Runnable afterFirstPage = () -> {};
    private int responsesToLose;
    private int leaseLimitResponsesToLose;
    private Duration nextResponseDelay = Duration.ZERO;
    private UnaryOperator<Write> writeFilter = UnaryOperator.identity();
    private Predicate<Write> rejectedWrites = write -> false;
    private int rejections;
    private long version;

    FakeRecordStore(ManualLoop loop) {
        this.loop = loop;
        for (Table table : Table.values()) {
            tables.put(table, new TreeMap<>());
        }
    }

    /** Sets the latency from a call to its effect, and from the effect to the response. */
    void setLatency(Duration next) {
        latency = next;
        transactionLatency = next;
    }

    /** Sets the same latency for transactions only. */
    void setTransactionLatency(Duration next) {
        transactionLatency = next;
    }

    /**
     * Makes the store execute one transaction after the other, and refuse those that would wait too long.
     *
     * @param time time that a transaction takes
     * @param maxWait longest time that a transaction waits for the ones before it
     */
    void setSlowTransactions(Duration time, Duration maxWait) {
        transactionTime = time;
        maxTransactionWait = maxWait;
    }

    /** Makes the store reject all calls without applying them, or ends that. */
    void setRejecting(boolean next) {
        rejecting = next;
    }

    boolean rejecting() {
        return rejecting;
    }

    /** Makes the store reject the transactions with such a write, whenever they are sent. */
    void setRejectedWrites(Predicate<Write> next) {
        rejectedWrites = next;
    }

    /** Replaces what transactions write. */
    void setWriteFilter(UnaryOperator<Write> next) {
        writeFilter = next;
    }

    /** Returns the number of rejected transactions. */
    int rejections() {
        return rejections;
    }

    /** Answers the next read of changes that the history is lost. */
    void loseHistoryOnce() {
        historyLost = true;
    }

    /** Limits the rows of a page, and runs an action after the next one was read. */
    void setPageRows(int rows, Runnable afterNextPage) {
        pageRows = rows;
        afterFirstPage = afterNextPage;
    }

    /** Makes conflicts report no rows, and rejects all reads. */
    void setConflictsWithoutRows() {
        conflictsWithoutRows = true;
    }

    /** Loses the responses of reads on open connections, or ends that; new connections work. */
    void setOpenConnectionsSilent(boolean silent) {
        openConnectionsSilent = silent;
    }

    /** Loses the responses of the next transactions, which are still applied. */
    void loseResponses(int count) {
        responsesToLose = count;
    }

    /** Loses the responses of the next transactions that store the lease limit, which are still applied. */
    void loseLeaseLimitResponses(int count) {
        leaseLimitResponsesToLose = count;
    }

    /** Delays the response to the next transaction. */
    void delayNextResponse(Duration delay) {
        nextResponseDelay = delay;
    }

    @Override
    public StoreClock clock() {
        return clock;
    }

    /** Returns the records of a table by key. */
    Map<String, Entry> table(Table table) {
        return tables.get(table);
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionResult> callback) {
        long sentNanos = loop.nowNanos();
        // The lease limit has a partition of its own, which is neither slow nor loses responses.
        boolean ofFleet = transaction.writes().stream().noneMatch(write -> write.table() == Table.LEASES);
        Duration queueTime = ofFleet ? queueTime() : Duration.ZERO;
        loop.schedule(transactionLatency.plus(queueTime), () -> {
            if (rejecting || queueTime.compareTo(maxTransactionWait.plus(transactionTime)) > 0) {
                respond(transactionLatency, callback, new TransactionResult.NotApplied("status 429", !rejecting));
                return;
            }
            TransactionResult result = rejection(transaction).orElseGet(() -> apply(transaction));
            long readingMs = readingMs();
            if (!ofFleet && leaseLimitResponsesToLose > 0) {
                leaseLimitResponsesToLose--;
                loop.schedule(TIMEOUT, () -> callback.accept(new TransactionResult.Unknown("no answer")));
            } else if (!ofFleet) {
                respond(latency, callback, result, sentNanos, readingMs);
            } else if (responsesToLose > 0) {
                responsesToLose--;
                loop.schedule(TIMEOUT, () -> callback.accept(new TransactionResult.Unknown("no answer")));
            } else {
                respond(transactionLatency.plus(nextResponseDelay), callback, result, sentNanos, readingMs);
                nextResponseDelay = Duration.ZERO;
            }
        });
    }

    @Override
    public void transactOnNewConnection(Transaction transaction, Consumer<TransactionResult> callback) {
        transact(transaction, callback);
    }

    private Optional<TransactionResult> rejection(Transaction transaction) {
        Optional<TransactionResult> rejection = transaction.writes().stream().anyMatch(rejectedWrites)
                ? Optional.of(new TransactionResult.Rejected("status 400"))
                : StoreLimits.rejection(transaction);
        rejections += rejection.isPresent() ? 1 : 0;
        return rejection;
    }

    /** Returns the time until the next transaction has been executed. */
    private Duration queueTime() {
        long startNanos = Math.max(busyUntilNanos, loop.nowNanos());
        Duration queueTime = Duration.ofNanos(startNanos - loop.nowNanos()).plus(transactionTime);
        if (queueTime.compareTo(maxTransactionWait.plus(transactionTime)) <= 0) {
            busyUntilNanos = startNanos + transactionTime.toNanos();
        }
        return queueTime;
    }

    private long readingMs() {
        return CLOCK_START_MS + loop.nowNanos() / 1_000_000;
    }

    private <T> void respond(Duration delay, Consumer<T> callback, T result) {
        loop.schedule(delay, () -> callback.accept(result));
    }

    private <T> void respond(Duration delay, Consumer<T> callback, T result, long sentNanos, long readingMs) {
        loop.schedule(delay, () -> {
            clock.addReading(readingMs, sentNanos, loop.nowNanos());
            callback.accept(result);
        });
    }

    private TransactionResult apply(Transaction transaction) {
        List<Entry> current = new ArrayList<>();
        boolean conditionsHold = true;
        for (Condition condition : transaction.conditions()) {
            Entry entry = tables.get(condition.table()).get(condition.key());
            long found = entry == null ? 0 : entry.version();
            conditionsHold &= found == condition.version();
            if (entry != null) {
                current.add(entry);
            }
        }
        if (!conditionsHold) {
            return new TransactionResult.Conflict(conflictsWithoutRows ? List.of() : current);
        }
        version++;
        for (Write write : transaction.writes().stream().map(writeFilter).toList()) {
            if (write.value() == null) {
                tables.get(write.table()).remove(write.key());
            } else {
                Entry entry = new Entry(write.table(), write.key(), write.value(), version, false);
                tables.get(write.table()).put(write.key(), entry);
            }
        }
        return new TransactionResult.Applied(version);
    }

    @Override
    public void read(Table table, String from, String to, Consumer<ReadResult> callback) {
        if (openConnectionsSilent) {
            loop.schedule(TIMEOUT, () -> callback.accept(new ReadResult.Failed("no answer")));
        } else {
            readOnNewConnection(table, from, to, callback);
        }
    }

    @Override
    public void readOnNewConnection(Table table, String from, String to, Consumer<ReadResult> callback) {
        long sentNanos = loop.nowNanos();
        loop.schedule(latency, () -> {
            if (rejecting || conflictsWithoutRows) {
                respond(latency, callback, new ReadResult.Failed("status 503"));
                return;
            }
            TreeMap<String, Entry> rows = tables.get(table);
            Map<String, Entry> range = to == null ? rows.tailMap(from, true) : rows.subMap(from, true, to, false);
            List<Entry> page = range.values().stream().limit(pageRows).toList();
            respond(
                    latency,
                    callback,
                    new ReadResult.Page(page, version, page.size() < range.size()),
                    sentNanos,
                    readingMs());
            afterFirstPage.run();
            afterFirstPage = () -> {};
        });
    }

    @Override
    public void readChangesOnNewConnection(Table table, long afterVersion, Consumer<ReadResult> callback) {
        follow(table, afterVersion, Duration.ZERO, callback);
    }

    @Override
    public void follow(Table table, long afterVersion, Duration wait, Consumer<ReadResult> callback) {
        long sentNanos = loop.nowNanos();
        loop.schedule(wait, () -> {
            if (rejecting || conflictsWithoutRows) {
                respond(latency, callback, new ReadResult.Failed("status 503"));
                return;
            }
            if (historyLost) {
                historyLost = false;
                respond(latency, callback, new ReadResult.HistoryLost());
                return;
            }
            List<Entry> changed = new ArrayList<>();
            for (Entry entry : tables.get(table).values()) {
                if (entry.version() > afterVersion) {
                    changed.add(entry);
                }
            }
            respond(latency, callback, new ReadResult.Page(changed, version, false), sentNanos, readingMs());
        });
    }
}
