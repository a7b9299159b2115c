package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.VersionedRow;
import org.tamarackline.entry.jobs.JobMessages.RowsMoved;
import org.tamarackline.peer.PeerException;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TableTransaction.Check;
import org.tamarackline.store.TableTransaction.Write;
import org.tamarackline.store.TransactionConflictException;

/**
 * Moves waiting tasks to racks that can run them, parks tasks that are too large for all workers of the region, and unparks
 * them when another rack has a large enough worker.
 *
 * <p>One transaction deletes the task rows of the old rack and writes them to the new one, on condition that this node still
 * owns the old rack. Only pending tasks are moved, so no worker is involved.
 */
final class TaskMover {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final long MIN_WAITING_NANOS = Duration.ofSeconds(4).toNanos();
    /**
     * Not shorter than the refresh interval of {@link RackLoadCache}, or two moves would fill the same free capacity of a
     * rack.
     */
    private static final long MOVE_INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();
    /**
     * A transaction writes at most {@value RowFormat#MAX_TRANSACTION_ROWS} rows: the old and the new row of each task, and
     * the job row.
     */
    private static final int MAX_TASKS_PER_MOVE = 99;

    private final JobsContext context;
    private final RackLoadCache loads;
    private final RowFormat rowFormat;
    private final Consumer<ShardId> onMoveToOwnedRack;
    private boolean moveInFlight;
    private Optional<UnresolvedMove> unresolved = Optional.empty();
    private long nextMoveNanos;

    /** Creates a mover; {@code onMoveToOwnedRack} is called after tasks were moved to a rack that this node owns. */
    TaskMover(JobsContext context, RackLoadCache loads, Consumer<ShardId> onMoveToOwnedRack) {
        this.onMoveToOwnedRack = onMoveToOwnedRack;
        this.context = context;
        this.loads = loads;
        this.rowFormat = context.rowFormat();
        this.nextMoveNanos = context.clock().nowNanos();
    }

    /** A move of tasks of one job to one rack. */
    private record TaskMove(RackController from, ShardId to, JobId job, List<VersionedRow> tasks) {

        List<TaskId> taskIds() {
            return tasks.stream().map(stored -> stored.row().task()).toList();
        }
    }

    /** A move whose outcome is unknown. */
    private record UnresolvedMove(TaskMove move, TableTransaction transaction) {}

    private enum MoveOutcome {
        MOVED,
        NOT_MOVED,
        UNKNOWN
    }

    /** Starts the next move if one is due and none is in flight; called on the loop. */
    void moveWaitingTasks(List<RackController> racks) {
        long now = context.clock().nowNanos();
        if (moveInFlight || now < nextMoveNanos || context.cluster().membershipStatus() != MembershipStatus.CONFIRMED) {
            return;
        }
        nextMoveNanos = now + MOVE_INTERVAL_NANOS;
        if (unresolved.isPresent()) {
            UnresolvedMove earlierMove = unresolved.get();
            moveInFlight = true;
            context.executors().blockingCalls().execute(() -> retry(earlierMove));
            return;
        }
        racks.forEach(this::unparkTasksThatFitElsewhere);
        for (RackController rack : racks) {
            Optional<TaskMove> move = rack.isReady() ? parkOrSelectMove(rack) : Optional.empty();
            if (move.isPresent()) {
                start(move.get());
                return;
            }
        }
    }

    private void unparkTasksThatFitElsewhere(RackController rack) {
        rack.scheduler().tasksTooLargeForAllRacks().stream()
                .filter(row -> loads.selectRackWithLargeEnoughWorker(row.spec().resources(), rack.shard())
                        .isPresent())
                .forEach(row -> rack.scheduler().unpark(row.task()));
    }

    private Optional<TaskMove> parkOrSelectMove(RackController rack) {
        Resources largestHere = rack.scheduler().load().largestWorker();
        Map<Resources, Optional<ShardId>> targets = new HashMap<>();
        Map<ShardId, Map<JobId, List<VersionedRow>>> byTarget = new HashMap<>();
        for (VersionedRow stored : rack.scheduler().waitingLongerThan(MIN_WAITING_NANOS)) {
            Resources size = stored.row().spec().resources();
            boolean fitsHere = size.fitsIn(largestHere);
            Optional<ShardId> target = targets.computeIfAbsent(size, key -> selectTarget(rack, key, fitsHere));
            target.ifPresent(shard -> byTarget.computeIfAbsent(shard, key -> new HashMap<>())
                    .computeIfAbsent(stored.row().task().job(), key -> new ArrayList<>())
                    .add(stored));
            if (target.isEmpty() && !fitsHere && loads.isComplete()) {
                rack.scheduler().park(stored.row().task(), ParkReason.FITS_NOWHERE);
            }
        }
        return byTarget.entrySet().stream()
                .flatMap(target -> target.getValue().entrySet().stream()
                        .map(job -> createMove(rack, target.getKey(), job.getKey(), job.getValue())))
                .findFirst();
    }

    private Optional<ShardId> selectTarget(RackController rack, Resources size, boolean fitsHere) {
        return fitsHere
                ? loads.selectRackWithCapacity(size, rack.shard())
                : loads.selectRackWithLargeEnoughWorker(size, rack.shard());
    }

    /**
     * Limits the move to the estimated free capacity of the target rack, so that the tasks do not soon move on from there,
     * but moves at least one task.
     */
    private TaskMove createMove(RackController rack, ShardId target, JobId job, List<VersionedRow> tasks) {
        Resources size = tasks.getFirst().row().spec().resources();
        int count = Math.min(MAX_TASKS_PER_MOVE, Math.max(1, loads.estimateTasksThatFit(size, target)));
        return new TaskMove(rack, target, job, tasks.subList(0, Math.min(tasks.size(), count)));
    }

    private void start(TaskMove move) {
        moveInFlight = true;
        move.from().scheduler().holdForMove(move.taskIds());
        long shardRowVersion = move.from().shardRowVersion().orElseThrow();
        context.executors().blockingCalls().execute(() -> send(move, shardRowVersion));
    }

    private void send(TaskMove move, long shardRowVersion) {
        Optional<TableTransaction> sent = Optional.empty();
        MoveOutcome outcome = MoveOutcome.NOT_MOVED;
        try {
            sent = createTransaction(move, shardRowVersion);
            outcome = sent.isEmpty() ? MoveOutcome.NOT_MOVED : apply(sent.get(), false);
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("tasks could not be moved to %s", move.to());
        }
        finishOnLoop(move, outcome, sent);
    }

    private void retry(UnresolvedMove earlierMove) {
        MoveOutcome outcome = MoveOutcome.UNKNOWN;
        try {
            outcome = apply(earlierMove.transaction(), true);
        } catch (PlatformUnavailableException e) {
            // An earlier send may still take effect although the retry certainly did not.
            LOG.atFine().withCause(e).log(
                    "outcome of the move to %s is still unknown",
                    earlierMove.move().to());
        }
        finishOnLoop(earlierMove.move(), outcome, Optional.of(earlierMove.transaction()));
    }

    private void finishOnLoop(TaskMove move, MoveOutcome outcome, Optional<TableTransaction> sent) {
        context.executors().loop().execute(() -> finish(move, outcome, sent));
    }

    private Optional<TableTransaction> createTransaction(TaskMove move, long shardRowVersion)
            throws PlatformUnavailableException {
        Optional<Row> jobRow = context.table().get(RowFormat.jobKey(move.job()));
        if (jobRow.isEmpty()) {
            return Optional.empty();
        }
        JobRow job = RowFormat.readJob(jobRow.get());
        if (job.cancelled()) {
            return Optional.empty();
        }
        List<Check> checks = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        checks.add(new Check(rowFormat.shardKey(move.from().shard()), shardRowVersion));
        checks.add(new Check(jobRow.get().key(), jobRow.get().version()));
        writes.add(new Write(jobRow.get().key(), RowFormat.toJson(job.withShard(move.to()))));
        for (VersionedRow stored : move.tasks()) {
            String oldKey = rowFormat.taskKey(move.from().shard(), stored.row().task());
            String newKey = rowFormat.taskKey(move.to(), stored.row().task());
            checks.add(new Check(oldKey, stored.version()));
            checks.add(new Check(newKey, 0));
            writes.add(new Write(oldKey, null));
            writes.add(new Write(newKey, RowFormat.toJson(stored.row())));
        }
        return Optional.of(new TableTransaction(UUID.randomUUID().toString(), checks, writes));
    }

    private MoveOutcome apply(TableTransaction transaction, boolean retry) throws PlatformUnavailableException {
        try {
            context.table().transact(transaction);
            return MoveOutcome.MOVED;
        } catch (TransactionConflictException e) {
            boolean appliedEarlier = retry && context.table().wasApplied(transaction.token());
            return appliedEarlier ? MoveOutcome.MOVED : MoveOutcome.NOT_MOVED;
        } catch (OutcomeUnknownException e) {
            return MoveOutcome.UNKNOWN;
        }
    }

    private void finish(TaskMove move, MoveOutcome outcome, Optional<TableTransaction> sent) {
        moveInFlight = false;
        unresolved = Optional.empty();
        switch (outcome) {
            case MOVED -> {
                move.from().scheduler().removeMoved(move.taskIds());
                LOG.atInfo().log(
                        "moved %d tasks from %s to %s",
                        move.tasks().size(), move.from().shard(), move.to());
                context.executors().blockingCalls().execute(() -> notifyOwner(move.to()));
            }
            case NOT_MOVED -> {
                move.from().scheduler().releaseFromMove(move.taskIds());
                move.taskIds().forEach(move.from()::reload);
            }
            case UNKNOWN -> unresolved = Optional.of(new UnresolvedMove(move, sent.orElseThrow()));
            default -> throw new IllegalStateException("unhandled move outcome " + outcome);
        }
    }

    /** Notifies the owner of the target rack. If this fails, the next periodic scan of that owner finds the rows. */
    private void notifyOwner(ShardId target) {
        Optional<NodeId> owner = context.cluster().ownerOf(target);
        if (owner.isEmpty()) {
            return;
        }
        if (owner.get().equals(context.cluster().self())) {
            onMoveToOwnedRack.accept(target);
            return;
        }
        try {
            Duration timeout = context.settings().cluster().requestTimeout();
            context.peers().call(owner.get(), new RowsMoved(target), timeout);
        } catch (PeerException e) {
            LOG.atWarning().log("owner of %s could not be notified of moved rows: %s", target, e.getMessage());
        }
    }
}
