package org.tamarackline.core.usage;

import java.util.Map;
import java.util.TreeMap;

import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.task.TaskRow;

/**
 * Sums up the usage of latency-critical requests by team and service, and computes the usage of tasks from their rows.
 *
 * <p>The row of a task is written once for each attempt that ended, so repeated reports of a worker are not counted twice.
 * Thread-safe.
 */
public final class UsageTracker {

    private final Map<UsageKey, UsageTotals> requests = new TreeMap<>();

    /** Records an attempt of a latency-critical request that took {@code durationMs}. */
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

    /** Returns the usage of the requests recorded so far. */
    public synchronized Map<UsageKey, UsageTotals> requests() {
        return Map.copyOf(requests);
    }

    /** Returns the usage that follows from a task's row. */
    public static UsageTotals totalsOfTask(TaskRow row) {
        long doneMs = row.outcome().map(TaskRow.Outcome::workDoneMs).orElse(0L);
        long repeatedMs = row.work().repeatedMs();
        return switch (row.state()) {
            case DONE -> new UsageTotals(1, 0, doneMs, repeatedMs, 0);
            case FAILED, CANCELLED -> new UsageTotals(0, 1, 0, repeatedMs, doneMs);
            default -> new UsageTotals(0, 0, 0, repeatedMs, 0);
        };
    }

    /** Returns the key by which the usage of a task is summed up. */
    public static UsageKey keyOf(TaskRow row) {
        return new UsageKey(
                row.spec().team(), UsageKey.Kind.TASKS, row.spec().profile().value());
    }
}
