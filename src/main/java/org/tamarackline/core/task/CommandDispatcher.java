package org.tamarackline.core.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.task.WorkerProtocol.RefusalCode;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;
import org.tamarackline.core.time.MonotonicClock;

/**
 * Chooses the commands to send to workers for the committed task rows of the rack, and turns the outcome of each command
 * into a row change, a retry or the next command.
 */
final class CommandDispatcher {

    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(500).toNanos();
    private static final long OVER_CAPACITY_DELAY_NANOS = Duration.ofSeconds(3).toNanos();
    /**
     * Number of tries after which a start is abandoned; a start without a response only if the worker's task list does not
     * contain the attempt either.
     */
    static final int MAX_START_TRIES = 3;

    private static final int MAX_CHECKPOINT_TRIES = 3;

    private final RackState state;
    private final PendingChanges pendingChanges;
    private final TaskListReconciler reconciler;
    private final ConfiguredProfiles profiles;
    private final MonotonicClock clock;

    CommandDispatcher(
            PendingChanges pendingChanges,
            TaskListReconciler reconciler,
            ConfiguredProfiles profiles,
            MonotonicClock clock) {
        this.state = pendingChanges.state();
        this.pendingChanges = pendingChanges;
        this.profiles = profiles;
        this.reconciler = reconciler;
        this.clock = clock;
    }

    /** Returns the commands to send now and marks them as in flight. */
    List<WorkerCommand> dueCommands(RackMode mode) {
        List<WorkerCommand> due = new ArrayList<>();
        for (TaskEntry entry : state.unfinished()) {
            takeDueCommand(entry, mode).ifPresent(due::add);
        }
        for (WorkerEntry worker : state.workers()) {
            worker.staleAttempts()
                    .forEach(staleAttempt ->
                            staleAttemptCommand(worker, staleAttempt).ifPresent(due::add));
        }
        return due;
    }

    private Optional<WorkerCommand> takeDueCommand(TaskEntry entry, RackMode mode) {
        boolean onWorker = entry.row.state().isOnWorker();
        boolean waiting = entry.commandInFlight || clock.nowNanos() < entry.retryAtNanos;
        if (!onWorker || waiting || entry.changeInFlight || entry.cancelRequested) {
            return Optional.empty();
        }
        WorkerEntry worker = entry.row.worker().flatMap(state::worker).orElseThrow();
        Optional<WorkerCommand> command = commandFor(entry, worker, mode);
        command.ifPresent(chosen -> entry.commandInFlight = true);
        return command;
    }

    private Optional<WorkerCommand> commandFor(TaskEntry entry, WorkerEntry worker, RackMode mode) {
        boolean active = mode == RackMode.ACTIVE;
        return switch (entry.pendingCommand) {
            case START -> active && entry.pendingChange.isEmpty() ? startCommand(entry, worker) : Optional.empty();
            case CHECKPOINT ->
                active
                        ? Optional.of(new WorkerCommand.Checkpoint(worker.id, entry.task(), entry.row.attempt()))
                        : Optional.empty();
            case STOP -> Optional.of(new WorkerCommand.Stop(worker.id, entry.task(), entry.row.attempt()));
            case NONE -> throttleCommand(entry, worker);
        };
    }

    private Optional<WorkerCommand> startCommand(TaskEntry entry, WorkerEntry worker) {
        if (worker.acceptsStarts()) {
            entry.startMayBeAccepted = true;
            entry.assignedByEarlierOwner = false;
            return Optional.of(new WorkerCommand.Start(
                    worker.id, entry.row, profiles.profileOf(entry).checkpointAllowed()));
        }
        if (worker.silent && !entry.startMayBeAccepted) {
            abandonAssignment(entry, entry.interruptedEvent(Optional.empty()));
        }
        return Optional.empty();
    }

    private static Optional<WorkerCommand> throttleCommand(TaskEntry entry, WorkerEntry worker) {
        if (entry.row.state() != TaskState.RUNNING || entry.speedPercent == entry.targetSpeedPercent) {
            return Optional.empty();
        }
        return Optional.of(
                new WorkerCommand.Throttle(worker.id, entry.task(), entry.row.attempt(), entry.targetSpeedPercent));
    }

    /** Returns a stop, or once the attempt has ended, a request to the worker to remove its record of the attempt. */
    private Optional<WorkerCommand> staleAttemptCommand(WorkerEntry worker, StaleAttempt staleAttempt) {
        boolean reachable = worker.hasResponded && !worker.silent;
        if (!reachable || staleAttempt.commandInFlight || clock.nowNanos() < staleAttempt.retryAtNanos) {
            return Optional.empty();
        }
        staleAttempt.commandInFlight = true;
        return Optional.of(
                staleAttempt.stopNeeded
                        ? new WorkerCommand.Stop(worker.id, staleAttempt.task, staleAttempt.attempt)
                        : new WorkerCommand.Forget(worker.id, staleAttempt.task, staleAttempt.attempt));
    }

    /**
     * Applies the outcome of a command to the task or the stale attempt that it was sent for, unless it no longer applies.
     *
     * @param sequence sequence number of the outcome, in one order with the renewals
     */
    void handleOutcome(WorkerCommand command, CommandOutcome outcome, long sequence) {
        Optional<TaskEntry> entry = state.task(command.task())
                .filter(taskEntry ->
                        taskEntry.row.isOn(command.worker()) && taskEntry.row.attempt() == command.attempt());
        entry.ifPresent(taskEntry -> taskEntry.commandInFlight = false);
        switch (command) {
            case WorkerCommand.Start start ->
                entry.ifPresent(taskEntry -> handleStartOutcome(taskEntry, outcome, sequence));
            case WorkerCommand.Checkpoint checkpoint ->
                entry.ifPresent(taskEntry -> handleCheckpointOutcome(taskEntry, outcome, sequence));
            case WorkerCommand.Throttle throttle ->
                entry.ifPresent(taskEntry -> handleThrottleOutcome(taskEntry, throttle, outcome));
            case WorkerCommand.Stop stop -> {
                entry.filter(taskEntry -> taskEntry.pendingCommand == TaskEntry.PendingCommand.STOP)
                        .ifPresent(taskEntry -> handleStopOutcome(taskEntry, outcome, sequence));
                staleAttemptOf(command)
                        .ifPresent(staleAttempt -> handleStaleAttemptStopOutcome(staleAttempt, command, outcome));
            }
            case WorkerCommand.Forget forget ->
                staleAttemptOf(command).ifPresent(staleAttempt -> handleForgetOutcome(staleAttempt, command, outcome));
        }
    }

    private Optional<StaleAttempt> staleAttemptOf(WorkerCommand command) {
        return state.worker(command.worker())
                .flatMap(worker -> worker.staleAttempt(command.task()))
                .filter(staleAttempt -> staleAttempt.attempt == command.attempt() && staleAttempt.commandInFlight);
    }

    private void handleStartOutcome(TaskEntry entry, CommandOutcome outcome, long sequence) {
        if (entry.row.state() != TaskState.ASSIGNED || entry.pendingCommand != TaskEntry.PendingCommand.START) {
            return;
        }
        switch (outcome) {
            case CommandOutcome.Accepted accepted -> {
                worker(entry).health.recordSuccess();
                entry.startConfirmedSequence = sequence;
                entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
                pendingChanges.propose(entry, new TaskEvent.Started(), TaskEntry.FollowUp.NONE);
            }
            case CommandOutcome.Refused refused -> handleStartRefusal(entry, refused.code());
            case CommandOutcome.NotSent notSent -> {
                entry.startMayBeAccepted = entry.startUnconfirmed;
                retryStart(entry);
            }
            case CommandOutcome.Unknown unknown -> retryUnconfirmedStart(entry);
        }
    }

    /**
     * Repeats a start that got no response. Repeating is harmless, because the worker accepts an attempt only once.
     *
     * <p>The number of tries has no limit here: abandoning the assignment could stop a running attempt. Only the worker's
     * task list shows that the attempt does not run.
     */
    private void retryUnconfirmedStart(TaskEntry entry) {
        entry.startUnconfirmed = true;
        entry.commandTries++;
        entry.retryAtNanos = clock.nowNanos() + RETRY_DELAY_NANOS;
    }

    private void handleStartRefusal(TaskEntry entry, RefusalCode code) {
        entry.startMayBeAccepted = entry.startUnconfirmed;
        switch (code) {
            case START_FAILED, INVALID -> {
                reconciler.recordFailure(worker(entry), entry);
                abandonAssignment(entry, entry.workerFailedEvent(worker(entry).id));
            }
            case OVER_CAPACITY -> {
                worker(entry).noTasksUntilNanos = clock.nowNanos() + OVER_CAPACITY_DELAY_NANOS;
                abandonAssignment(entry, entry.interruptedEvent(Optional.empty()));
            }
            // If an earlier try got no response, the attempt may have run, even to its end. The report on the stop
            // tells.
            case ATTEMPT_FORBIDDEN -> abandonAssignment(entry, entry.interruptedEvent(Optional.empty()));
            case NO_LEASE -> {
                worker(entry).leaseCurrent = false;
                retryStart(entry);
            }
            case FENCED, CHECKPOINT_FAILED, UNKNOWN_TASK -> retryStart(entry);
            default -> throw new IllegalStateException("refusal " + code + " is not handled");
        }
    }

    /**
     * Repeats a start that was refused or not sent, or abandons it after {@link #MAX_START_TRIES}. If an earlier try got no
     * response, the attempt may be running, so that only the worker's task list decides, as in
     * {@link #retryUnconfirmedStart}.
     */
    private void retryStart(TaskEntry entry) {
        entry.commandTries++;
        entry.retryAtNanos = clock.nowNanos() + RETRY_DELAY_NANOS;
        if (entry.commandTries >= MAX_START_TRIES && !entry.startUnconfirmed) {
            abandonAssignment(entry, entry.interruptedEvent(Optional.empty()));
        }
    }

    /**
     * Abandons the assignment. If a start may still be accepted, the worker first has to confirm a stop; after it, the worker
     * refuses a start of this attempt.
     */
    private void abandonAssignment(TaskEntry entry, TaskEvent event) {
        if (entry.startMayBeAccepted) {
            entry.eventAfterStop = Optional.of(event);
            entry.setPendingCommand(TaskEntry.PendingCommand.STOP);
            return;
        }
        entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
        pendingChanges.propose(entry, event, TaskEntry.FollowUp.NONE);
    }

    /** Handles the outcome of a checkpoint, which is always the first step of an eviction and is followed by a stop. */
    private void handleCheckpointOutcome(TaskEntry entry, CommandOutcome outcome, long sequence) {
        if (entry.pendingCommand != TaskEntry.PendingCommand.CHECKPOINT) {
            return;
        }
        switch (outcome) {
            case CommandOutcome.Accepted accepted -> handleCheckpointReport(entry, accepted.report(), sequence);
            case CommandOutcome.Refused refused -> handleCheckpointRefusal(entry, refused.code());
            case CommandOutcome.NotSent notSent -> retryCheckpoint(entry);
            case CommandOutcome.Unknown unknown -> retryCheckpoint(entry);
        }
    }

    private void handleCheckpointReport(TaskEntry entry, Optional<TaskReport> report, long sequence) {
        boolean running = report.map(taskReport -> taskReport.state() == TaskReportState.RUNNING)
                .orElse(false);
        if (!running) {
            report.ifPresentOrElse(
                    taskReport -> reconciler.applyReport(entry, taskReport, sequence), () -> retryCheckpoint(entry));
            return;
        }
        entry.savedWorkMs = report.get().workDoneMs();
        entry.lastCheckpointKey = report.get().checkpointKey();
        entry.setPendingCommand(TaskEntry.PendingCommand.STOP);
    }

    private void handleCheckpointRefusal(TaskEntry entry, RefusalCode code) {
        if (code == RefusalCode.CHECKPOINT_FAILED || code == RefusalCode.INVALID) {
            abandonEviction(entry);
        } else {
            retryCheckpoint(entry);
        }
    }

    private void retryCheckpoint(TaskEntry entry) {
        entry.commandTries++;
        entry.retryAtNanos = clock.nowNanos() + RETRY_DELAY_NANOS;
        if (entry.commandTries >= MAX_CHECKPOINT_TRIES) {
            abandonEviction(entry);
        }
    }

    private void abandonEviction(TaskEntry entry) {
        entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
        pendingChanges.propose(entry, new TaskEvent.EvictionAbandoned(), TaskEntry.FollowUp.NONE);
    }

    private void handleStopOutcome(TaskEntry entry, CommandOutcome outcome, long sequence) {
        Optional<TaskReport> report = reportOf(outcome);
        if (report.isPresent() && report.get().state() != TaskReportState.RUNNING) {
            reconciler.applyReport(entry, report.get(), sequence);
        } else if (workerLacksTask(outcome)) {
            entry.setPendingCommand(TaskEntry.PendingCommand.NONE);
            TaskEvent event = entry.eventAfterStop.orElseGet(() -> entry.interruptedEvent(entry.lastCheckpointKey));
            pendingChanges.propose(entry, event, TaskEntry.FollowUp.NONE);
        } else {
            entry.retryAtNanos = clock.nowNanos() + RETRY_DELAY_NANOS;
        }
    }

    private static void handleThrottleOutcome(TaskEntry entry, WorkerCommand.Throttle command, CommandOutcome outcome) {
        if (outcome instanceof CommandOutcome.Accepted) {
            entry.speedPercent = command.percent();
        } else {
            // A failed throttle is not repeated; the next pending command resets the time.
            entry.retryAtNanos = Long.MAX_VALUE;
        }
    }

    private void handleStaleAttemptStopOutcome(
            StaleAttempt staleAttempt, WorkerCommand command, CommandOutcome outcome) {
        staleAttempt.commandInFlight = false;
        boolean stopped = reportOf(outcome)
                .map(report -> report.state() != TaskReportState.RUNNING)
                .orElse(false);
        if (stopped) {
            staleAttempt.recordStop();
        } else if (workerLacksTask(outcome)) {
            remove(staleAttempt, command);
        } else {
            staleAttempt.retryAtNanos = clock.nowNanos() + RETRY_DELAY_NANOS;
        }
    }

    private void handleForgetOutcome(StaleAttempt staleAttempt, WorkerCommand command, CommandOutcome outcome) {
        staleAttempt.commandInFlight = false;
        if (outcome instanceof CommandOutcome.Accepted || workerLacksTask(outcome)) {
            remove(staleAttempt, command);
        } else {
            staleAttempt.retryAtNanos = clock.nowNanos() + RETRY_DELAY_NANOS;
        }
    }

    private void remove(StaleAttempt staleAttempt, WorkerCommand command) {
        state.worker(command.worker()).ifPresent(worker -> worker.remove(staleAttempt));
    }

    private static Optional<TaskReport> reportOf(CommandOutcome outcome) {
        return outcome instanceof CommandOutcome.Accepted accepted ? accepted.report() : Optional.empty();
    }

    private static boolean workerLacksTask(CommandOutcome outcome) {
        return outcome instanceof CommandOutcome.Refused refused && refused.code() == RefusalCode.UNKNOWN_TASK;
    }

    private WorkerEntry worker(TaskEntry entry) {
        return entry.row.worker().flatMap(state::worker).orElseThrow();
    }
}
