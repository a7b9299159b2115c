package org.tamarackline.core.task;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.time.MonotonicClock;

/** Chooses the pending row changes to commit in one transaction, and applies the result of the transaction. */
final class RowCommits {

    private final RackState state;
    private final PendingChanges pendingChanges;
    private final MonotonicClock clock;

    RowCommits(PendingChanges pendingChanges, MonotonicClock clock) {
        this.state = pendingChanges.state();
        this.pendingChanges = pendingChanges;
        this.clock = clock;
    }

    /**
     * Returns up to {@code max} row changes to commit in one transaction and marks them as being committed. Cancellations take
     * up at most half of a batch while other changes wait.
     */
    List<RowChange> nextBatch(int max) {
        List<TaskEntry> cancellations = new ArrayList<>();
        List<TaskEntry> others = new ArrayList<>();
        pendingChanges.entries().forEach(entry -> (entry.cancelRequested ? cancellations : others).add(entry));
        int forOthers = Math.min(others.size(), Math.max(max / 2, max - cancellations.size()));
        List<TaskEntry> chosen = new ArrayList<>(others.subList(0, forOthers));
        int forCancellations = Math.min(cancellations.size(), max - forOthers);
        chosen.addAll(cancellations.subList(0, forCancellations));
        return chosen.stream().map(this::markInFlight).toList();
    }

    private RowChange markInFlight(TaskEntry entry) {
        entry.changeInFlight = true;
        pendingChanges.withdraw(entry.task());
        return entry.pendingChange.orElseThrow().change();
    }

    /** Handles the commit of a batch. */
    void handleCommit(List<RowChange> changes) {
        changes.forEach(change -> state.task(change.task())
                .filter(entry -> entry.changeInFlight)
                .ifPresent(entry -> handleCommit(entry, change)));
    }

    private void handleCommit(TaskEntry entry, RowChange change) {
        TaskEntry.FollowUp followUp = entry.pendingChange.orElseThrow().followUp();
        entry.changeInFlight = false;
        entry.pendingChange = Optional.empty();
        entry.row = change.to();
        entry.version++;
        change.from()
                .worker()
                .filter(worker -> change.from().state().isOnWorker())
                .flatMap(state::worker)
                .ifPresent(worker -> addStaleAttempt(worker, entry, change, followUp));
        applyNewState(entry, change);
    }

    private void addStaleAttempt(WorkerEntry worker, TaskEntry entry, RowChange change, TaskEntry.FollowUp followUp) {
        if (change.to().state().isOnWorker()) {
            return;
        }
        int attempt = change.from().attempt();
        switch (followUp) {
            case FORGET -> worker.add(StaleAttempt.toForget(entry.task(), attempt));
            case STOP -> worker.add(StaleAttempt.toStop(entry.task(), attempt, entry.size()));
            case NONE -> {}
            default -> throw new IllegalStateException("follow-up " + followUp + " is not handled");
        }
    }

    private void applyNewState(TaskEntry entry, RowChange change) {
        long now = clock.nowNanos();
        switch (entry.row.state()) {
            case ASSIGNED -> {
                entry.assignedByEarlierOwner = false;
                entry.startMayBeAccepted = false;
                entry.startUnconfirmed = false;
                entry.workDoneMs = entry.savedWorkMs;
                entry.speedPercent = TaskEntry.UNTHROTTLED_PERCENT;
                entry.startConfirmedSequence = Long.MAX_VALUE;
                entry.setPendingCommand(TaskEntry.PendingCommand.START);
            }
            case EVICTING -> entry.setPendingCommand(TaskEntry.PendingCommand.CHECKPOINT);
            case RUNNING -> {
                entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
                if (change.from().state() == TaskState.EVICTING) {
                    entry.evictedAtNanos = Optional.of(now);
                }
            }
            case PENDING -> {
                if (change.from().state() == TaskState.EVICTING) {
                    entry.evictedAtNanos = Optional.of(now);
                }
                entry.eventAfterStop = Optional.empty();
                entry.waitingSinceNanos = now;
                entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
            }
            case PARKED -> entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
            case DONE, FAILED, CANCELLED -> state.finish(entry.row);
            default -> throw new IllegalStateException("state " + entry.row.state() + " is not handled");
        }
    }

    /** Handles a batch that certainly did not take effect. Assignments are decided again, other changes stay pending. */
    void handleCommitFailure(List<RowChange> changes) {
        changes.forEach(change -> state.task(change.task())
                .filter(entry -> entry.changeInFlight)
                .ifPresent(entry -> {
                    entry.changeInFlight = false;
                    if (change.to().state() == TaskState.ASSIGNED) {
                        entry.pendingChange = Optional.empty();
                    } else {
                        pendingChanges.requeue(entry);
                    }
                }));
    }
}
