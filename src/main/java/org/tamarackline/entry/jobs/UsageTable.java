package org.tamarackline.entry.jobs;

import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.usage.UsageKey;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.core.usage.UsageTotals;
import org.tamarackline.core.usage.UsageTracker;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TableTransaction.Write;
import org.tamarackline.store.TransactionConflictException;

/**
 * Writes and reads the stored usage of latency-critical requests.
 *
 * <p>The rows hold the totals of one day and one process, with its incarnation in their keys. So no two processes write the
 * same row, and a repeated write changes nothing.
 */
final class UsageTable {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final String KEY_PREFIX = "usage/";
    private static final int SCAN_PAGE_ROWS = 500;

    private final TableStore table;
    private final UsageTracker tracker;
    private final Incarnation incarnation;
    private Map<UsageKey, UsageTotals> lastWrittenTotals = new HashMap<>();
    private Map<UsageKey, UsageTotals> totalsAtDayStart = Map.of();
    private LocalDate day;

    UsageTable(TableStore table, UsageTracker tracker, Incarnation incarnation) {
        this.table = table;
        this.tracker = tracker;
        this.incarnation = incarnation;
        this.day = today();
    }

    private static LocalDate today() {
        return LocalDate.now(ZoneOffset.UTC);
    }

    /** Writes the totals that changed since the last flush; called every 30 s. */
    synchronized void flush() {
        Map<UsageKey, UsageTotals> totals = tracker.requests();
        Map<UsageKey, UsageTotals> changed = new HashMap<>();
        List<Write> writes = new ArrayList<>();
        totals.forEach((key, total) -> {
            if (!total.equals(lastWrittenTotals.get(key)) && writes.size() < RowFormat.MAX_TRANSACTION_ROWS) {
                UsageTotals totalOfDay = total.minus(totalsAtDayStart.getOrDefault(key, UsageTotals.NONE));
                writes.add(new Write(rowKey(key), RowFormat.toJson(new UsageSource.Line(key, totalOfDay))));
                changed.put(key, total);
            }
        });
        if (!writes.isEmpty() && apply(writes)) {
            lastWrittenTotals.putAll(changed);
        }
        startNewDay(totals);
    }

    /**
     * Starts a new day once all totals are written. Usage up to the first complete write after midnight counts for the old
     * day.
     */
    private void startNewDay(Map<UsageKey, UsageTotals> totals) {
        if (!today().equals(day) && lastWrittenTotals.equals(totals)) {
            day = today();
            totalsAtDayStart = totals;
        }
    }

    private String rowKey(UsageKey key) {
        return "%s%s/%s/%s/%016x".formatted(KEY_PREFIX, key.team().value(), key.name(), day, incarnation.value());
    }

    private boolean apply(List<Write> writes) {
        try {
            table.transact(new TableTransaction(UUID.randomUUID().toString(), List.of(), writes));
            return true;
        } catch (TransactionConflictException | PlatformUnavailableException | OutcomeUnknownException e) {
            LOG.atFine().withCause(e).log("usage could not be written; trying again");
            return false;
        }
    }

    /** Returns the usage of requests as written by all processes, added up over all days. */
    Map<UsageKey, UsageTotals> readTotals() throws PlatformUnavailableException {
        Map<UsageKey, UsageTotals> totals = new HashMap<>();
        String after = "";
        List<Row> page;
        do {
            page = table.scan(KEY_PREFIX, after, SCAN_PAGE_ROWS);
            for (Row row : page) {
                UsageSource.Line line = RowFormat.readUsageLine(row);
                totals.merge(line.key(), line.totals(), UsageTotals::plus);
            }
            after = page.isEmpty() ? after : page.getLast().key();
        } while (page.size() == SCAN_PAGE_ROWS);
        return totals;
    }
}
