package org.tamarackline.core.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Abandons the attempts on workers that have been silent until their leases expired.
 *
 * <p>An attempt may have finished before its lease expired. Its result is therefore looked up in the object store first, and
 * the task runs again only if there is none.
 */
final class ExpiredLeases {

    /** Delay before a lookup that failed is repeated. */
    private static final long LOOKUP_RETRY_DELAY_NANOS = Duration.ofMillis(500).toNanos();

    private final RackState state;
    private final PendingChanges pendingChanges;
    private final RackSettings settings;
    private final MonotonicClock clock;
    private final long acquiredAtNanos;

    /** Creates the handler of a rack that this node acquires at this moment. */
    ExpiredLeases(PendingChanges pendingChanges, RackSettings settings, MonotonicClock clock) {
        this.state = pendingChanges.state();
        this.pendingChanges = pendingChanges;
        this.settings = settings;
        this.clock = clock;
        this.acquiredAtNanos = clock.nowNanos();
    }

    /** Abandons the attempts on all workers whose leases have expired. */
    void abandonTasks() {
        long now = clock.nowNanos();
        long expiryNanos = settings.leaseExpiryDelay().toNanos();
        for (WorkerEntry worker : state.workers()) {
            if (worker.hasLeaseExpired(acquiredAtNanos, expiryNanos, now)) {
                abandonTasksOf(worker);
            }
        }
    }

    private void abandonTasksOf(WorkerEntry worker) {
        worker.leaseCurrent = false;
        worker.staleAttempts().stream()
                .filter(staleAttempt -> staleAttempt.stopNeeded)
                .forEach(StaleAttempt::recordLeaseExpiry);
        for (TaskEntry entry : state.tasksOn(worker.id)) {
            if (entry.changeInFlight || !entry.row.isOn(worker.id)) {
                continue;
            }
            // Added before the commit, because a start of this attempt may still arrive and must not find a current
            // lease.
            worker.add(StaleAttempt.afterLeaseExpiry(entry.task(), entry.row.attempt()));
            if (!entry.cancelRequested && entry.pendingChange.isEmpty() && entry.lookup == TaskEntry.Lookup.NONE) {
                entry.lookup = TaskEntry.Lookup.DUE;
            }
        }
    }

    /** Returns the lookups to make now; the result of each has to be passed to {@link #handleLookup}. */
    List<ResultLookup> dueLookups() {
        List<ResultLookup> due = new ArrayList<>();
        long now = clock.nowNanos();
        for (TaskEntry entry : state.unfinished()) {
            if (entry.lookup == TaskEntry.Lookup.DUE && now >= entry.retryAtNanos) {
                entry.lookup = TaskEntry.Lookup.IN_FLIGHT;
                due.add(new ResultLookup(entry.task(), entry.row.attempt()));
            }
        }
        return due;
    }

    /** Handles the result of a lookup. */
    void handleLookup(ResultLookup lookup, ResultLookup.Result result) {
        state.task(lookup.task())
                .filter(entry -> entry.lookup == TaskEntry.Lookup.IN_FLIGHT)
                .ifPresent(entry -> handleLookup(entry, lookup, result));
    }

    private void handleLookup(TaskEntry entry, ResultLookup lookup, ResultLookup.Result result) {
        entry.lookup = TaskEntry.Lookup.NONE;
        boolean current = entry.row.state().isOnWorker() && entry.row.attempt() == lookup.attempt();
        if (!current || !entry.acceptsChange()) {
            return;
        }
        switch (result) {
            case ResultLookup.Result.Found found -> {
                TaskRow.Outcome outcome =
                        new TaskRow.Outcome(Optional.of(lookup.key()), Optional.of(0), found.workDoneMs());
                pendingChanges.propose(entry, new TaskEvent.Finished(outcome), TaskEntry.FollowUp.NONE);
            }
            case ResultLookup.Result.Absent absent ->
                pendingChanges.propose(entry, entry.interruptedEvent(Optional.empty()), TaskEntry.FollowUp.NONE);
            case ResultLookup.Result.Unknown unknown -> {
                entry.lookup = TaskEntry.Lookup.DUE;
                entry.retryAtNanos = clock.nowNanos() + LOOKUP_RETRY_DELAY_NANOS;
            }
        }
    }
}
