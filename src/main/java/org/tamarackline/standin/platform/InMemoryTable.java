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

/** Transactional in-memory table with the size limits of the platform's table. Thread-safe. */
public final class InMemoryTable {

    /** Maximum size of a row's value, in bytes of JSON. */
    public static final int MAX_VALUE_BYTES = 64 * 1024;

    /** Maximum number of writes in a transaction. */
    public static final int MAX_WRITES = 200;

    /** Maximum number of rows returned by a scan. */
    public static final int MAX_SCAN_ROWS = 500;

    private static final int MAX_STORED_OUTCOMES = 200_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<String, Map<String, Long>> outcomesByToken = new LinkedHashMap<>();

    public synchronized Optional<Row> get(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    /**
     * Returns up to {@code limit} rows in key order whose key starts with {@code prefix} and is greater than {@code
     * after}.
     *
     * @throws IllegalArgumentException if {@code limit} is not between 1 and {@link #MAX_SCAN_ROWS}
     */
    public synchronized List<Row> scan(String prefix, String after, int limit) {
        if (limit < 1 || limit > MAX_SCAN_ROWS) {
            throw new IllegalArgumentException(
                    "scan limit %d is out of range: must be 1 to %d".formatted(limit, MAX_SCAN_ROWS));
        }
        boolean startsAfterPrefix = after.compareTo(prefix) >= 0;
        String from = startsAfterPrefix ? after : prefix;
        return rows.tailMap(from, !startsAfterPrefix).values().stream()
                .takeWhile(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    /**
     * Applies a transaction atomically. If a transaction with the same token was applied before, returns its outcome
     * without changing anything.
     *
     * @return new version of each written row, 0 for a deleted row
     * @throws TransactionConflictException if a row does not have the version that the transaction expects
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

    /** Returns the versions written by the transaction with this token, empty if it was not applied. */
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
            throw new IllegalArgumentException("transaction has %d writes: the maximum is %d"
                    .formatted(transaction.writes().size(), MAX_WRITES));
        }
        for (TableTransaction.Write write : transaction.writes()) {
            int size = isDelete(write) ? 0 : sizeOf(write.value());
            if (size > MAX_VALUE_BYTES) {
                throw new IllegalArgumentException("value of row \"%s\" has %d bytes: the maximum is %d"
                        .formatted(write.key(), size, MAX_VALUE_BYTES));
            }
        }
    }

    private static int sizeOf(JsonNode value) {
        return value.toString().getBytes(StandardCharsets.UTF_8).length;
    }
}
