package org.tamarackline.standin.platform;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TransactionConflictException;

/** A transactional table in memory with the limits of the platform's table. Safe for use by several threads. */
public final class InMemoryTable {

    /** Largest value of a row, in bytes of JSON. */
    public static final int MAX_VALUE_BYTES = 64 * 1024;

    /** Largest number of writes in a transaction. */
    public static final int MAX_WRITES = 200;

    /** Largest number of rows returned by a scan. */
    public static final int MAX_SCAN_ROWS = 500;

    private static final int MAX_STORED_OUTCOMES = 200_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<String, Map<String, Long>> outcomesByToken = new LinkedHashMap<>();

    /** Returns the row at {@code key}. */
    public synchronized Optional<Row> get(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    /**
     * Returns up to {@code limit} rows whose key starts with {@code prefix}, in key order, after the key {@code after}.
     *
     * @throws IllegalArgumentException if {@code limit} is not between 1 and {@link #MAX_SCAN_ROWS}
     */
    public synchronized List<Row> scan(String prefix, String after, int limit) {
        if (limit < 1 || limit > MAX_SCAN_ROWS) {
            throw new IllegalArgumentException(
                    "scan limit %d is not allowed: use 1 to %d".formatted(limit, MAX_SCAN_ROWS));
        }
        boolean startsAfterPrefix = after.compareTo(prefix) >= 0;
        String from = startsAfterPrefix ? after : prefix;
        return rows.tailMap(from, !startsAfterPrefix).values().stream()
                .takeWhile(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    /**
     * Applies a transaction as a whole. A token that took effect before returns its earlier outcome and changes nothing.
     *
     * @return new version of each written row, 0 for a deleted one
     * @throws TransactionConflictException if a check failed
     * @throws IllegalArgumentException if a limit is exceeded
     */
    public synchronized Map<String, Long> apply(TableTransaction transaction) throws TransactionConflictException {
        checkLimits(transaction);
        Map<String, Long> earlierOutcome = outcomesByToken.get(transaction.token());
        if (earlierOutcome != null) {
            return earlierOutcome;
        }
        for (TableTransaction.Check check : transaction.checks()) {
            long current = currentVersion(check.key());
            if (current != check.version()) {
                throw new TransactionConflictException(check.key(), current);
            }
        }
        Map<String, Long> versions = new LinkedHashMap<>();
        for (TableTransaction.Write write : transaction.writes()) {
            versions.put(write.key(), write(write));
        }
        storeOutcome(transaction.token(), Map.copyOf(versions));
        return versions;
    }

    /** Returns the versions written by the transaction with this token, if it took effect. */
    public synchronized Optional<Map<String, Long>> outcome(String token) {
        return Optional.ofNullable(outcomesByToken.get(token));
    }

    private long currentVersion(String key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.version();
    }

    private long write(TableTransaction.Write write) {
        if (isDelete(write)) {
            rows.remove(write.key());
            return 0;
        }
        long version = currentVersion(write.key()) + 1;
        rows.put(write.key(), new Row(write.key(), write.value().deepCopy(), version));
        return version;
    }

    private void storeOutcome(String token, Map<String, Long> versions) {
        outcomesByToken.put(token, versions);
        if (outcomesByToken.size() > MAX_STORED_OUTCOMES) {
            outcomesByToken.remove(outcomesByToken.keySet().iterator().next());
        }
    }

    private static boolean isDelete(TableTransaction.Write write) {
        return write.value() == null || write.value().isNull();
    }

    private static void checkLimits(TableTransaction transaction) {
        if (transaction.writes().size() > MAX_WRITES) {
            throw new IllegalArgumentException("transaction has %d writes: split it into parts of at most %d"
                    .formatted(transaction.writes().size(), MAX_WRITES));
        }
        for (TableTransaction.Write write : transaction.writes()) {
            int size = isDelete(write) ? 0 : sizeOf(write.value());
            if (size > MAX_VALUE_BYTES) {
                throw new IllegalArgumentException("value of row \"%s\" has %d bytes: keep it within %d bytes"
                        .formatted(write.key(), size, MAX_VALUE_BYTES));
            }
        }
    }

    private static int sizeOf(JsonNode value) {
        return value.toString().getBytes(StandardCharsets.UTF_8).length;
    }
}
