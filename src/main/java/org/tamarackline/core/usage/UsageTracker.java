package org.tamarackline.core.usage;

import java.util.Map;
import java.util.TreeMap;

import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.task.TaskRow;

/**
 * Adds up work by team and service.
 *
 * <p>The work of a task is taken from its row, which is written once for each attempt that ended: a repeated report of a
 * worker, or a repeated count, changes nothing. Thread-safe.
 */
public final class UsageTracker {

    private final Map<UsageKey, UsageTotals> requests = new TreeMap<>();

    /** Counts an attempt of a quick request that took {@code durationMs}. */
    public synchronized void recordRequest(
            ServiceName service, TeamName team, long durationMs, AttemptOutcome outcome) {
        UsageKey key = new UsageKey(team, UsageKey.Kind.REQUESTS, service.value());
        requests.merge(key, totalsOfRequest(durationMs, outcome), UsageTotals::plus);
    }

    private static UsageTotals totalsOfRequest(long durationMs, AttemptOutcome outcome) {
        return switch (outcome) {
            case SERVED -> new UsageTotals(1, 0, durationMs, 0, 0);
            case REPEATED -> new UsageTotals(0, 0, 0, durationMs, 0);
            case FAILED -> new UsageTotals(0, 1, 0, 0, durationMs);
        };
    }

    /** Returns the requests counted so far. */
    public synchronized Map<UsageKey, UsageTotals> requests() {
        return Map.copyOf(requests);
    }

    /** Returns the work that a task's row accounts for. */
    public static UsageTotals totalsOfTask(TaskRow row) {
        long doneMs = row.outcome().map(TaskRow.Outcome::workDoneMs).orElse(0L);
        long repeatedMs = row.work().repeatedMs();
        return switch (row.state()) {
            case DONE -> new UsageTotals(1, 0, doneMs, repeatedMs, 0);
            case FAILED, CANCELLED -> new UsageTotals(0, 1, 0, repeatedMs, doneMs);
            default -> new UsageTotals(0, 0, 0, repeatedMs, 0);
        };
    }

    /** Returns the key that a task's work is counted by. */
    public static UsageKey keyOf(TaskRow row) {
        return new UsageKey(
                row.spec().team(), UsageKey.Kind.TASKS, row.spec().profile().value());
    }
}
