package org.tamarackline.core.task;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;
import org.tamarackline.core.time.MonotonicClock;

/**
 * Reconciles the task list that a worker reports with the committed rows: proposes the row changes that follow from the
 * reports, and records attempts that the worker has to stop or forget.
 */
final class TaskListReconciler {

    private final RackState state;
    private final PendingChanges pendingChanges;
    private final MonotonicClock clock;

    TaskListReconciler(PendingChanges pendingChanges, MonotonicClock clock) {
        this.state = pendingChanges.state();
        this.pendingChanges = pendingChanges;
        this.clock = clock;
    }

    /** Applies the task list in the response to {@code renewal}. */
    void reconcile(WorkerEntry worker, Renewal renewal, WorkerProtocol.RenewResponse response) {
        Map<TaskId, TaskReport> reports = new HashMap<>();
        response.tasks().forEach(report -> reports.put(report.taskId(), report));
        for (TaskEntry entry : state.tasksOn(worker.id)) {
            TaskReport report = reports.get(entry.task());
            if (!entry.row.isOn(worker.id)) {
                continue;
            }
            if (report != null && report.attempt() == entry.row.attempt()) {
                applyReport(entry, report, renewal.sequence());
            } else {
                handleUnlisted(entry, renewal);
            }
        }
        removeUnlistedStaleAttempts(worker, reports);
        response.tasks().forEach(report -> addStaleAttempt(worker, report));
        response.usage().forEach(sample -> recordUsage(worker, sample));
    }

    /** Applies what the worker of the committed row reports about the attempt. */
    void applyReport(TaskEntry entry, TaskReport report, long sequence) {
        entry.workDoneMs = report.workDoneMs();
        entry.startConfirmedSequence = Math.min(entry.startConfirmedSequence, sequence);
        WorkerEntry worker = entry.row.worker().flatMap(state::worker).orElseThrow();
        switch (report.state()) {
            case RUNNING -> handleRunning(entry, worker);
            case DONE -> propose(entry, new TaskEvent.Finished(outcomeOf(report)));
            case FAILED -> handleFailed(entry, report, worker);
            case STOPPED -> handleStopped(entry, report);
            default -> throw new IllegalStateException("report state " + report.state() + " is not handled");
        }
    }

    private void handleRunning(TaskEntry entry, WorkerEntry worker) {
        if (entry.row.state() == TaskState.ASSIGNED && entry.pendingCommand != TaskEntry.PendingCommand.STOP) {
            entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
            worker.health.recordSuccess();
            pendingChanges.propose(entry, new TaskEvent.Started(), TaskEntry.FollowUp.NONE);
        }
        boolean evictionUnknown =
                entry.row.state() == TaskState.EVICTING && entry.pendingCommand == TaskEntry.PendingCommand.NONE;
        if (evictionUnknown && entry.acceptsChange()) {
            // An earlier owner recorded the eviction. Whether the checkpoint was written is unknown; repeating it is
            // harmless.
            entry.setPendingCommand(TaskEntry.PendingCommand.CHECKPOINT);
        }
    }

    private void handleFailed(TaskEntry entry, TaskReport report, WorkerEntry worker) {
        if (report.exitCode().isPresent()) {
            propose(entry, new TaskEvent.Exited(outcomeOf(report)));
            return;
        }
        recordFailure(worker, entry);
        propose(entry, entry.workerFailedEvent(worker.id));
    }

    private void handleStopped(TaskEntry entry, TaskReport report) {
        Optional<String> newestCheckpointKey = report.checkpointKey().or(() -> entry.lastCheckpointKey);
        if (report.checkpointKey().isPresent() && !report.checkpointKey().equals(entry.row.checkpointKey())) {
            entry.savedWorkMs = report.workDoneMs();
        }
        propose(entry, entry.eventAfterStop.orElseGet(() -> entry.interruptedEvent(newestCheckpointKey)));
    }

    private void propose(TaskEntry entry, TaskEvent event) {
        entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
        pendingChanges.propose(entry, event, TaskEntry.FollowUp.FORGET);
    }

    private static TaskRow.Outcome outcomeOf(TaskReport report) {
        return new TaskRow.Outcome(report.resultKey(), report.exitCode(), report.workDoneMs());
    }

    void recordFailure(WorkerEntry worker, TaskEntry entry) {
        boolean runsElsewhere = state.unfinished().stream()
                .filter(other -> other.task().job().equals(entry.task().job()))
                .anyMatch(other -> other.row.state() == TaskState.RUNNING && !other.row.isOn(worker.id));
        worker.health.recordFailure(entry.task().job(), runsElsewhere, clock.nowNanos());
    }

    private void handleUnlisted(TaskEntry entry, Renewal renewal) {
        if (entry.row.state() == TaskState.ASSIGNED && entry.assignedByEarlierOwner) {
            // The worker has seen this epoch, so it no longer accepts a start sent under an earlier epoch.
            entry.startMayBeAccepted = false;
            return;
        }
        if (entry.pendingCommand == TaskEntry.PendingCommand.START && entry.startUnconfirmed) {
            abandonUnconfirmedStart(entry);
            return;
        }
        if (entry.startConfirmedSequence < renewal.sequence()) {
            entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
            pendingChanges.propose(entry, entry.interruptedEvent(Optional.empty()), TaskEntry.FollowUp.NONE);
        }
    }

    /**
     * Abandons an attempt if the worker responded to renewals but to none of the starts. After the stop, the worker
     * refuses starts of this attempt that are still on the way.
     */
    private static void abandonUnconfirmedStart(TaskEntry entry) {
        if (entry.commandTries >= CommandDispatcher.MAX_START_TRIES) {
            entry.eventAfterStop = Optional.of(entry.interruptedEvent(Optional.empty()));
            entry.setPendingCommand(TaskEntry.PendingCommand.STOP);
        }
    }

    private static void removeUnlistedStaleAttempts(WorkerEntry worker, Map<TaskId, TaskReport> reports) {
        List<StaleAttempt> unlisted = worker.staleAttempts().stream()
                .filter(staleAttempt -> staleAttempt.removedWhenUnlisted && !reports.containsKey(staleAttempt.task))
                .toList();
        unlisted.forEach(worker::remove);
    }

    /** Records an attempt that no row places on this worker, so that the worker stops or forgets it. */
    private void addStaleAttempt(WorkerEntry worker, TaskReport report) {
        Optional<TaskEntry> entry = state.task(report.taskId());
        boolean newerThanKnown =
                entry.map(known -> known.row.attempt() < report.attempt()).orElse(false);
        boolean expected = entry.map(known -> known.row.isOn(worker.id) && known.row.attempt() == report.attempt())
                .orElse(false);
        if (expected || newerThanKnown) {
            return;
        }
        Optional<StaleAttempt> known =
                worker.staleAttempt(report.taskId()).filter(staleAttempt -> staleAttempt.attempt >= report.attempt());
        if (known.isPresent()) {
            return;
        }
        Resources size =
                state.row(report.taskId()).map(row -> row.spec().resources()).orElse(Resources.NONE);
        boolean running = report.state() == TaskReportState.RUNNING;
        worker.add(
                running
                        ? StaleAttempt.toStop(report.taskId(), report.attempt(), size)
                        : StaleAttempt.toForget(report.taskId(), report.attempt()));
    }

    private void recordUsage(WorkerEntry worker, WorkerProtocol.UsageSample sample) {
        state.task(sample.taskId())
                .filter(entry -> entry.row.isOn(worker.id) && entry.row.attempt() == sample.attempt())
                .ifPresent(entry -> entry.recordUsage(sample.used()));
    }
}
