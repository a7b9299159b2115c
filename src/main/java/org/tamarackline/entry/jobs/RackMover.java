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
import org.tamarackline.store.TableTransaction.Check;
import org.tamarackline.store.TableTransaction.Write;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TransactionConflictException;

/**
 * Moves waiting tasks that do not fit their rack to another one, and parks those that fit nowhere.
 *
 * <p>One transaction deletes the rows under the old rack and writes them under the new one, conditional on the ownership of
 * the old rack; the tasks are pending, so no worker is concerned.
 */
final class RackMover {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final long PATIENCE_NANOS = Duration.ofSeconds(4).toNanos();
    /** Loads of other nodes are as old as this; a shorter interval would fill the same room twice. */
    private static final long INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();
    /** Each task takes two rows of the transaction, its old one and its new one, besides the row of the job. */
    private static final int TASKS_PER_MOVE = 99;

    private final JobsContext context;
    private final RackLoads loads;
    private final JobRows rows;
    private final Consumer<ShardId> rowsMovedHere;
    private boolean busy;
    private Optional<UnresolvedMove> unresolved = Optional.empty();
    private long nextNanos;

    /** Creates a mover; {@code rowsMovedHere} is told of moves to a rack of this node. */
    RackMover(JobsContext context, RackLoads loads, Consumer<ShardId> rowsMovedHere) {
        this.rowsMovedHere = rowsMovedHere;
        this.context = context;
        this.loads = loads;
        this.rows = context.rows();
        this.nextNanos = context.clock().nowNanos();
    }

    /** Tasks of one job that move to one rack. */
    private record Move(RackRunner from, ShardId to, JobId job, List<VersionedRow> tasks) {

        List<TaskId> taskIds() {
            return tasks.stream().map(stored -> stored.row().task()).toList();
        }
    }

    /** A move whose outcome is unknown. */
    private record UnresolvedMove(Move move, TableTransaction transaction) {}

    private enum Result {
        MOVED,
        NOT_MOVED,
        UNKNOWN
    }

    /** Starts the next move if one is due; called on the loop. */
    void moveStranded(List<RackRunner> racks) {
        long now = context.clock().nowNanos();
        if (busy || now < nextNanos || context.cluster().membershipStatus() != MembershipStatus.CONFIRMED) {
            return;
        }
        nextNanos = now + INTERVAL_NANOS;
        if (unresolved.isPresent()) {
            UnresolvedMove earlierMove = unresolved.get();
            busy = true;
            context.threads().calls().execute(() -> retry(earlierMove));
            return;
        }
        racks.forEach(this::unparkWhatFitsElsewhere);
        for (RackRunner rack : racks) {
            Optional<Move> move = rack.isReady() ? nextMove(rack) : Optional.empty();
            if (move.isPresent()) {
                start(move.get());
                return;
            }
        }
    }

    private void unparkWhatFitsElsewhere(RackRunner rack) {
        rack.scheduler().tasksTooLargeForAllRacks().stream()
                .filter(row ->
                        loads.largeEnough(row.spec().resources(), rack.shard()).isPresent())
                .forEach(row -> rack.scheduler().unpark(row.task()));
    }

    private Optional<Move> nextMove(RackRunner rack) {
        Resources largestHere = rack.scheduler().load().largestWorker();
        Map<Resources, Optional<ShardId>> targets = new HashMap<>();
        Map<ShardId, Map<JobId, List<VersionedRow>>> byTarget = new HashMap<>();
        for (VersionedRow stored : rack.scheduler().waitingLongerThan(PATIENCE_NANOS)) {
            Resources size = stored.row().spec().resources();
            boolean fitsHere = size.fitsIn(largestHere);
            Optional<ShardId> target = targets.computeIfAbsent(size, key -> targetOf(rack, key, fitsHere));
            target.ifPresent(shard -> byTarget.computeIfAbsent(shard, key -> new HashMap<>())
                    .computeIfAbsent(stored.row().task().job(), key -> new ArrayList<>())
                    .add(stored));
            if (target.isEmpty() && !fitsHere && loads.areComplete()) {
                rack.scheduler().park(stored.row().task(), ParkReason.FITS_NOWHERE);
            }
        }
        return byTarget.entrySet().stream()
                .flatMap(target -> target.getValue().entrySet().stream()
                        .map(job -> move(rack, target.getKey(), job.getKey(), job.getValue())))
                .findFirst();
    }

    private Optional<ShardId> targetOf(RackRunner rack, Resources size, boolean fitsHere) {
        return fitsHere ? loads.withRoom(size, rack.shard()) : loads.largeEnough(size, rack.shard());
    }

    /** Moves no more tasks than the other rack has room for, or they would soon move on from there. */
    private Move move(RackRunner rack, ShardId target, JobId job, List<VersionedRow> tasks) {
        Resources size = tasks.getFirst().row().spec().resources();
        int count = Math.min(TASKS_PER_MOVE, Math.max(1, loads.roomFor(size, target)));
        return new Move(rack, target, job, tasks.subList(0, Math.min(tasks.size(), count)));
    }

    private void start(Move move) {
        busy = true;
        move.from().scheduler().holdForMove(move.taskIds());
        long shardRowVersion = move.from().shardRowVersion().orElseThrow();
        context.threads().calls().execute(() -> firstAttempt(move, shardRowVersion));
    }

    private void firstAttempt(Move move, long shardRowVersion) {
        Optional<TableTransaction> sent = Optional.empty();
        Result result = Result.NOT_MOVED;
        try {
            sent = transactionOf(move, shardRowVersion);
            result = sent.isEmpty() ? Result.NOT_MOVED : apply(sent.get(), false);
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("tasks were not moved to %s", move.to());
        }
        report(move, result, sent);
    }

    private void retry(UnresolvedMove earlierMove) {
        Result result = Result.UNKNOWN;
        try {
            result = apply(earlierMove.transaction(), true);
        } catch (PlatformUnavailableException e) {
            // The first attempt may still take effect when the repetition certainly did not.
            LOG.atFine().withCause(e).log(
                    "the move to %s is not settled", earlierMove.move().to());
        }
        report(earlierMove.move(), result, Optional.of(earlierMove.transaction()));
    }

    private void report(Move move, Result result, Optional<TableTransaction> sent) {
        context.threads().loop().execute(() -> finish(move, result, sent));
    }

    private Optional<TableTransaction> transactionOf(Move move, long shardRowVersion)
            throws PlatformUnavailableException {
        Optional<Row> jobRow = context.table().get(JobRows.jobKey(move.job()));
        if (jobRow.isEmpty()) {
            return Optional.empty();
        }
        JobRecord job = JobRows.job(jobRow.get());
        if (job.cancelled()) {
            return Optional.empty();
        }
        List<Check> checks = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        checks.add(new Check(rows.shardKey(move.from().shard()), shardRowVersion));
        checks.add(new Check(jobRow.get().key(), jobRow.get().version()));
        writes.add(new Write(jobRow.get().key(), JobRows.toJson(job.spreadTo(move.to()))));
        for (VersionedRow stored : move.tasks()) {
            String oldKey = rows.taskKey(move.from().shard(), stored.row().task());
            String newKey = rows.taskKey(move.to(), stored.row().task());
            checks.add(new Check(oldKey, stored.version()));
            checks.add(new Check(newKey, 0));
            writes.add(new Write(oldKey, null));
            writes.add(new Write(newKey, JobRows.toJson(stored.row())));
        }
        return Optional.of(new TableTransaction(UUID.randomUUID().toString(), checks, writes));
    }

    private Result apply(TableTransaction transaction, boolean retry) throws PlatformUnavailableException {
        try {
            context.table().transact(transaction);
            return Result.MOVED;
        } catch (TransactionConflictException e) {
            boolean earlierMove = retry && context.table().tookEffect(transaction.token());
            return earlierMove ? Result.MOVED : Result.NOT_MOVED;
        } catch (OutcomeUnknownException e) {
            return Result.UNKNOWN;
        }
    }

    private void finish(Move move, Result result, Optional<TableTransaction> sent) {
        busy = false;
        unresolved = Optional.empty();
        switch (result) {
            case MOVED -> {
                move.from().scheduler().removeMoved(move.taskIds());
                LOG.atInfo().log(
                        "moved %d tasks from %s to %s",
                        move.tasks().size(), move.from().shard(), move.to());
                context.threads().calls().execute(() -> notifyOwner(move.to()));
            }
            case NOT_MOVED -> {
                move.from().scheduler().releaseFromMove(move.taskIds());
                move.taskIds().forEach(move.from()::reload);
            }
            case UNKNOWN -> unresolved = Optional.of(new UnresolvedMove(move, sent.orElseThrow()));
            default -> throw new IllegalStateException("result " + result + " is not handled");
        }
    }

    /** Tells the owner of the target rack; if this fails, its next periodic scan finds the rows. */
    private void notifyOwner(ShardId target) {
        Optional<NodeId> owner = context.cluster().ownerOf(target);
        if (owner.isEmpty()) {
            return;
        }
        if (owner.get().equals(context.cluster().self())) {
            rowsMovedHere.accept(target);
            return;
        }
        try {
            Duration timeout = context.settings().cluster().requestTimeout();
            context.peers().call(owner.get(), new RowsMoved(target), timeout);
        } catch (PeerException e) {
            LOG.atWarning().log("owner of %s was not told of moved rows: %s", target, e.getMessage());
        }
    }
}
