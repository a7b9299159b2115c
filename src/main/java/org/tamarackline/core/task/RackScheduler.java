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
 * Schedules the tasks of one rack. Turns events into row changes to commit and commands to send after the commit.
 *
 * <p>Nothing here is thread-safe: the runner of the rack calls it from one thread at a time. One batch of row changes may be
 * in flight at a time.
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

    /** Creates the scheduler of a rack that was gained at this moment. */
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

    /** Takes over rows that were read after the rack was gained, or that were added since. Known rows are left alone. */
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
            entry.startMayArrive = true;
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
            // Until the VM list names the worker it gets no new tasks.
            worker.listed = false;
            state.add(worker);
            return worker;
        });
    }

    /**
     * Replaces the workers of the rack.
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

    /** Applies the configuration in force. Parked tasks that it concerns are tried again. */
    public void configure(Configuration configuration) {
        profiles.install(configuration);
    }

    /** Tells the capacity of all racks together, of which the guarantees of teams are a part. */
    public void setClusterCapacity(Resources capacity) {
        taskPlacer.setClusterCapacity(capacity);
    }

    /** Marks all tasks of the job as cancelled and returns how many were not final. */
    public int cancel(JobId job) {
        List<TaskEntry> unfinished = state.unfinished().stream()
                .filter(entry -> entry.task().job().equals(job))
                .toList();
        unfinished.forEach(entry -> entry.cancelRequested = true);
        return unfinished.size();
    }

    /** Returns the renewals to send now; the outcome of each has to be reported back. */
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

    /** Takes in the answer to a renewal. */
    public void handleRenewal(Renewal renewal, WorkerProtocol.RenewResponse response) {
        state.worker(renewal.worker()).ifPresent(worker -> {
            worker.renewalInFlight = false;
            worker.recordRenewal(response);
            if (!worker.leaseCurrent) {
                // The first answer only brings a nonce; the lease follows with the next renewal.
                worker.nextRenewalNanos = clock.nowNanos() + LEASE_RETRY_DELAY_NANOS;
            }
            reconciler.reconcile(worker, renewal, response);
        });
    }

    /** Takes note that a renewal was refused or got no answer. */
    public void handleRenewalFailure(Renewal renewal) {
        state.worker(renewal.worker()).ifPresent(worker -> {
            worker.renewalInFlight = false;
            worker.silent = true;
        });
    }

    /** Makes the decisions that are due: cancellations, restarts after a lapsed lease, and in active mode placement. */
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

    /** Returns the lookups to make now; the answer to each has to be reported back. */
    public List<ResultLookup> dueLookups() {
        return expiredLeases.dueLookups();
    }

    /** Takes in the answer to a lookup. */
    public void handleLookup(ResultLookup lookup, ResultLookup.Result result) {
        expiredLeases.handleLookup(lookup, result);
    }

    private void parkPoisoned() {
        state.unfinished().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING && entry.isIdle())
                .filter(entry -> entry.row.failedOn().size() >= settings.poisonThreshold())
                .forEach(entry -> pendingChanges.propose(
                        entry, new TaskEvent.Parked(ParkReason.POISON), TaskEntry.FollowUp.NONE));
    }

    /** Parks a task that waits and that no rack can run. */
    public void park(TaskId task, ParkReason reason) {
        state.task(task)
                .filter(TaskEntry::isIdle)
                .ifPresent(
                        entry -> pendingChanges.propose(entry, new TaskEvent.Parked(reason), TaskEntry.FollowUp.NONE));
    }

    /** Returns the parked tasks that were too large for every rack. */
    public List<TaskRow> tasksTooLargeForAllRacks() {
        return state.unfinished().stream()
                .map(entry -> entry.row)
                .filter(row -> row.parkReason().equals(Optional.of(ParkReason.FITS_NOWHERE)))
                .toList();
    }

    /** Lets a parked task wait again, because another rack can run it now. */
    public void unpark(TaskId task) {
        state.task(task)
                .filter(TaskEntry::isIdle)
                .ifPresent(entry -> pendingChanges.propose(entry, new TaskEvent.Unparked(), TaskEntry.FollowUp.NONE));
    }

    /**
     * Returns up to {@code max} row changes to commit in one transaction and marks them as in flight. Cancellations take at
     * most half of a batch while other changes wait.
     */
    public List<RowChange> nextBatch(int max) {
        return commits.nextBatch(max);
    }

    /** Takes note that the changes of a batch took effect. */
    public void handleCommit(List<RowChange> changes) {
        commits.handleCommit(changes);
    }

    /** Takes note that a batch certainly did not take effect. Assignments are decided anew, the rest is kept. */
    public void handleCommitFailure(List<RowChange> changes) {
        commits.handleCommitFailure(changes);
    }

    /** Replaces what is known of a row by what the table holds, after a conflict on that row. */
    public void reload(TaskId task, Optional<VersionedRow> stored) {
        boolean cancelRequested =
                state.task(task).map(entry -> entry.cancelRequested).orElse(false);
        pendingChanges.withdraw(task);
        state.remove(task);
        stored.ifPresent(this::loadRow);
        state.task(task).ifPresent(entry -> entry.cancelRequested = cancelRequested);
    }

    /** Returns the commands to send now; the outcome of each has to be reported back. */
    public List<WorkerCommand> dueCommands(RackMode mode) {
        return commandDispatcher.dueCommands(mode);
    }

    /** Takes in the outcome of a command. */
    public void handleOutcome(WorkerCommand command, CommandOutcome outcome) {
        sequence++;
        commandDispatcher.handleOutcome(command, outcome, sequence);
    }

    /** Returns waiting tasks that found no worker for {@code durationNanos}, oldest first. */
    public List<VersionedRow> waitingLongerThan(long durationNanos) {
        long now = clock.nowNanos();
        return state.unfinished().stream()
                .filter(entry -> entry.row.state() == TaskState.PENDING && entry.isIdle())
                .filter(entry -> now - entry.waitingSinceNanos >= durationNanos)
                .map(entry -> new VersionedRow(entry.row, entry.version))
                .toList();
    }

    /** Keeps waiting tasks from being assigned while they are moved to another rack. */
    public void holdForMove(List<TaskId> tasks) {
        tasks.stream().flatMap(task -> state.task(task).stream()).forEach(entry -> entry.changeInFlight = true);
    }

    /** Undoes {@link #holdForMove} after a move that did not happen. */
    public void releaseFromMove(List<TaskId> tasks) {
        tasks.stream().flatMap(task -> state.task(task).stream()).forEach(entry -> entry.changeInFlight = false);
    }

    /** Forgets tasks that were moved to another rack. */
    public void removeMoved(List<TaskId> tasks) {
        tasks.forEach(task -> {
            pendingChanges.withdraw(task);
            state.remove(task);
        });
    }

    /** Returns the rows of the job's tasks; those that ended come without their command. */
    public List<TaskRow> rowsOf(JobId job) {
        return state.rowsOf(job);
    }

    /** Returns the row of the task if it is known here. */
    public Optional<TaskRow> row(TaskId task) {
        return state.row(task);
    }

    /** Returns what the rack has to offer. */
    public RackLoad load() {
        return taskPlacer.load();
    }

    /** Returns the rows of all tasks; those that ended come without their command. */
    public Stream<TaskRow> rows() {
        return state.rows();
    }

    /** Returns the capacity of the worker that is taken up, for tests and dumps. */
    public Resources occupied(WorkerId worker) {
        return state.worker(worker).map(state::occupied).orElse(Resources.NONE);
    }
}
