package org.tamarackline.core.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;
import org.tamarackline.core.placement.EvictionPlanner;
import org.tamarackline.core.placement.PlacementPolicy;
import org.tamarackline.core.time.MonotonicClock;

/**
 * Schedules the tasks of one rack. Turns worker reports, results of commits and configuration changes into row changes to
 * commit, and into commands to send after the commit.
 *
 * <p>Does no I/O: its caller sends renewals, commands and lookups, commits the row changes, and reports each outcome back.
 * At most one batch of row changes is committed at a time. Not thread-safe.
 */
public final class RackScheduler {

    private static final long LEASE_RETRY_DELAY_NANOS = Duration.ofMillis(100).toNanos();

    private final RackSettings settings;
    private final MonotonicClock clock;
    private final RackState state = new RackState();
    private final ConfiguredProfiles profiles = new ConfiguredProfiles();
    private final PendingChanges pendingChanges;
    private final RowCommits commits;
    private final ExpiredLeases expiredLeases;
    private final TaskListReconciler reconciler;
    private final CommandDispatcher commandDispatcher;
    private final TaskPlacer taskPlacer;
    private long sequence;

    /** Creates the scheduler of a rack that this node acquires at this moment. */
    public RackScheduler(
            RackSettings settings, MonotonicClock clock, PlacementPolicy policy, EvictionPlanner evictionPlanner) {
        this.settings = settings;
        this.clock = clock;
        this.pendingChanges = new PendingChanges(state);
        this.commits = new RowCommits(pendingChanges, clock);
        this.expiredLeases = new ExpiredLeases(pendingChanges, settings, clock);
        this.reconciler = new TaskListReconciler(pendingChanges, clock);
        this.commandDispatcher = new CommandDispatcher(pendingChanges, reconciler, profiles, clock);
        this.taskPlacer = new TaskPlacer(pendingChanges, profiles, clock, policy, evictionPlanner);
    }

    /** Adds rows that were read after the rack was acquired, or that were created since. Known rows are not changed. */
    public void load(List<VersionedRow> rows) {
        rows.stream().filter(stored -> !state.contains(stored.row().task())).forEach(this::loadRow);
    }

    private void loadRow(VersionedRow stored) {
        TaskRow row = stored.row();
        if (row.state().isFinal()) {
            state.finish(row);
            stopCancelledAttempt(row);
            return;
        }
        TaskEntry entry = new TaskEntry(stored, clock.nowNanos());
        row.worker().filter(worker -> row.state().isOnWorker()).ifPresent(this::workerEntry);
        if (row.state() == TaskState.ASSIGNED) {
            entry.assignedByEarlierOwner = true;
            entry.startMayBeAccepted = true;
            entry.setPendingCommand(TaskEntry.PendingCommand.START);
        }
        state.add(entry);
    }

    private void stopCancelledAttempt(TaskRow row) {
        if (row.state() != TaskState.CANCELLED || row.worker().isEmpty()) {
            return;
        }
        StaleAttempt staleAttempt =
                StaleAttempt.toStop(row.task(), row.attempt(), row.spec().resources());
        staleAttempt.removedWhenUnlisted = true;
        workerEntry(row.worker().get()).add(staleAttempt);
    }

    private WorkerEntry workerEntry(WorkerId id) {
        return state.worker(id).orElseGet(() -> {
            WorkerEntry worker = new WorkerEntry(id, new WorkerHealth(settings.workerFailureThreshold()));
            // The worker gets no new tasks until the VM list names it.
            worker.listed = false;
            state.add(worker);
            return worker;
        });
    }

    /**
     * Updates the workers of the rack from the VM list. Silent workers that are no longer listed are removed once they have no
     * tasks.
     *
     * @param listed workers in the VM list
     * @param draining workers that are leaving or out of service
     */
    public void setWorkers(Set<WorkerId> listed, Set<WorkerId> draining) {
        state.setWorkersKnown();
        state.workers().forEach(worker -> worker.listed = listed.contains(worker.id));
        listed.forEach(id -> workerEntry(id).listed = true);
        state.workers().forEach(worker -> worker.draining = draining.contains(worker.id));
        List<WorkerEntry> gone = state.workers().stream()
                .filter(worker -> !worker.listed && worker.silent)
                .filter(worker -> state.tasksOn(worker.id).isEmpty() && !worker.isRenewalBlocked())
                .toList();
        gone.forEach(state::remove);
    }

    /** Applies the configuration in force. Parked tasks that may run under it wait for a worker again. */
    public void configure(Configuration configuration) {
        profiles.install(configuration);
    }

    /** Sets the total capacity of all racks, to which the guarantees of teams refer. */
    public void setClusterCapacity(Resources capacity) {
        taskPlacer.setClusterCapacity(capacity);
    }

    /** Requests the cancellation of all unfinished tasks of the job and returns their number. */
    public int cancel(JobId job) {
        List<TaskEntry> unfinished = state.unfinished().stream()
                .filter(entry -> entry.task().job().equals(job))
                .toList();
        unfinished.forEach(entry -> entry.cancelRequested = true);
        return unfinished.size();
    }

    /** Returns the renewals to send now; each has to end in {@link #handleRenewal} or {@link #handleRenewalFailure}. */
    public List<Renewal> dueRenewals() {
        long now = clock.nowNanos();
        List<Renewal> due = new ArrayList<>();
        for (WorkerEntry worker : state.workers()) {
            boolean gone =
                    !worker.listed && worker.silent && state.tasksOn(worker.id).isEmpty();
            if (gone || worker.renewalInFlight || now < worker.nextRenewalNanos) {
                continue;
            }
            worker.renewalInFlight = true;
            worker.nextRenewalNanos = now + settings.renewalInterval().toNanos();
            due.add(new Renewal(worker.id, worker.useNonce(now), ++sequence));
        }
        return due;
    }

    /** Handles the response to a renewal. */
    public void handleRenewal(Renewal renewal, WorkerProtocol.RenewResponse response) {
        state.worker(renewal.worker()).ifPresent(worker -> {
            worker.renewalInFlight = false;
            worker.recordRenewal(response);
            if (!worker.leaseCurrent) {
                // The first response only brings a nonce; the next renewal extends the lease.
                worker.nextRenewalNanos = clock.nowNanos() + LEASE_RETRY_DELAY_NANOS;
            }
            reconciler.reconcile(worker, renewal, response);
        });
    }

    /** Handles a renewal that was refused or got no response. */
    public void handleRenewalFailure(Renewal renewal) {
        state.worker(renewal.worker()).ifPresent(worker -> {
            worker.renewalInFlight = false;
            worker.silent = true;
        });
    }

    /** Makes the decisions that are due: cancellations, and in active mode also restarts after expired leases, and placement. */
    public void tick(RackMode mode) {
        proposeCancellations();
        if (mode == RackMode.HOLDING) {
            return;
        }
        expiredLeases.abandonTasks();
        parkPoisoned();
        taskPlacer.run();
    }

    private void proposeCancellations() {
        state.unfinished().stream()
                .filter(entry -> entry.cancelRequested && !entry.changeInFlight)
                .filter(entry -> entry.pendingChange
                        .map(pending -> pending.change().to().state() != TaskState.CANCELLED)
                        .orElse(true))
                .forEach(entry -> pendingChanges.propose(
                        entry, new TaskEvent.Cancelled(entry.workDoneMs), TaskEntry.FollowUp.STOP));
    }

    /** Returns the lookups to make now; the result of each has to be passed to {@link #handleLookup}. */
    public List<ResultLookup> dueLookups() {
        return expiredLeases.dueLookups();
    }

    /** Handles the result of a lookup. */
    public void handleLookup(ResultLookup lookup, ResultLookup.Result result) {
        expiredLeases.handleLookup(lookup, result);
    }

    private void parkPoisoned() {
        state.unfinished().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING && entry.acceptsChange())
                .filter(entry -> entry.row.failedOn().size() >= settings.poisonThreshold())
                .forEach(entry -> pendingChanges.propose(
                        entry, new TaskEvent.Parked(ParkReason.POISON), TaskEntry.FollowUp.NONE));
    }

    /** Parks a waiting task that no rack can run. */
    public void park(TaskId task, ParkReason reason) {
        state.task(task)
                .filter(TaskEntry::acceptsChange)
                .ifPresent(
                        entry -> pendingChanges.propose(entry, new TaskEvent.Parked(reason), TaskEntry.FollowUp.NONE));
    }

    /** Returns the tasks that are parked because they are too large for every rack. */
    public List<TaskRow> tasksTooLargeForAllRacks() {
        return state.unfinished().stream()
                .map(entry -> entry.row)
                .filter(row -> row.parkReason().equals(Optional.of(ParkReason.FITS_NOWHERE)))
                .toList();
    }

    /** Makes a parked task wait for a worker again, because another rack can run it now. */
    public void unpark(TaskId task) {
        state.task(task)
                .filter(TaskEntry::acceptsChange)
                .ifPresent(entry -> pendingChanges.propose(entry, new TaskEvent.Unparked(), TaskEntry.FollowUp.NONE));
    }

    /**
     * Returns up to {@code max} row changes to commit in one transaction. The result of the transaction has to be passed to
     * {@link #handleCommit} or {@link #handleCommitFailure}. Cancellations take up at most half of a batch while other changes
     * wait.
     */
    public List<RowChange> nextBatch(int max) {
        return commits.nextBatch(max);
    }

    /** Handles the commit of a batch. */
    public void handleCommit(List<RowChange> changes) {
        commits.handleCommit(changes);
    }

    /** Handles a batch that certainly did not take effect. Assignments are decided again, other changes stay pending. */
    public void handleCommitFailure(List<RowChange> changes) {
        commits.handleCommitFailure(changes);
    }

    /** Replaces the known row of a task by the stored one, after a conflict on that row. */
    public void reload(TaskId task, Optional<VersionedRow> stored) {
        boolean cancelRequested =
                state.task(task).map(entry -> entry.cancelRequested).orElse(false);
        pendingChanges.withdraw(task);
        state.remove(task);
        stored.ifPresent(this::loadRow);
        state.task(task).ifPresent(entry -> entry.cancelRequested = cancelRequested);
    }

    /** Returns the commands to send now; the outcome of each has to be passed to {@link #handleOutcome}. */
    public List<WorkerCommand> dueCommands(RackMode mode) {
        return commandDispatcher.dueCommands(mode);
    }

    /** Handles the outcome of a command. */
    public void handleOutcome(WorkerCommand command, CommandOutcome outcome) {
        sequence++;
        commandDispatcher.handleOutcome(command, outcome, sequence);
    }

    /** Returns the tasks that have waited for a worker for at least {@code durationNanos}, in the order in which they were added. */
    public List<VersionedRow> waitingLongerThan(long durationNanos) {
        long now = clock.nowNanos();
        return state.unfinished().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING && entry.acceptsChange())
                .filter(entry -> now - entry.waitingSinceNanos >= durationNanos)
                .map(entry -> new VersionedRow(entry.row, entry.version))
                .toList();
    }

    /** Prevents the assignment of waiting tasks while they are moved to another rack. */
    public void holdForMove(List<TaskId> tasks) {
        tasks.stream().flatMap(task -> state.task(task).stream()).forEach(entry -> entry.changeInFlight = true);
    }

    /** Reverses {@link #holdForMove} after a move that did not take effect. */
    public void releaseFromMove(List<TaskId> tasks) {
        tasks.stream().flatMap(task -> state.task(task).stream()).forEach(entry -> entry.changeInFlight = false);
    }

    /** Removes tasks that were moved to another rack. */
    public void removeMoved(List<TaskId> tasks) {
        tasks.forEach(task -> {
            pendingChanges.withdraw(task);
            state.remove(task);
        });
    }

    /** Returns the rows of the job's tasks. Rows in a final state lack their command. */
    public List<TaskRow> rowsOf(JobId job) {
        return state.rowsOf(job);
    }

    /** Returns the row of the task, if it is a task of this rack. */
    public Optional<TaskRow> row(TaskId task) {
        return state.row(task);
    }

    /** Returns the capacity and the load of the rack. */
    public RackLoad load() {
        return taskPlacer.load();
    }

    /** Returns the rows of all tasks. Rows in a final state lack their command. */
    public Stream<TaskRow> rows() {
        return state.rows();
    }

    /** Returns the occupied capacity of the worker, for tests and dumps. */
    public Resources occupied(WorkerId worker) {
        return state.worker(worker).map(state::occupied).orElse(Resources.NONE);
    }
}
