package org.tamarackline.entry.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.task.RowChange;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TableTransaction.Check;
import org.tamarackline.store.TableTransaction.Write;
import org.tamarackline.store.TransactionConflictException;

/**
 * Commits the row changes of all racks of this node, one transaction at a time.
 *
 * <p>A transaction is conditional on the shard row of each rack in it, so a rack that was lost makes it fail. A transaction
 * whose outcome is unknown is sent again unchanged until it is settled: if the first one arrives late, only one of both can
 * find its conditions met.
 */
final class GroupCommitter {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final JobsContext context;
    private final JobRows rows;
    private Optional<Group> unsettled = Optional.empty();
    private boolean busy;
    private int firstRack;

    GroupCommitter(JobsContext context) {
        this.context = context;
        this.rows = context.rows();
    }

    /** The changes of one transaction by rack. */
    private record Group(TableTransaction transaction, Map<RackRunner, List<RowChange>> changes) {}

    private enum Result {
        COMMITTED,
        NOT_COMMITTED,
        UNKNOWN
    }

    /** Starts the next transaction unless one is under way; called on the loop. */
    void commit(List<RackRunner> racks) {
        if (busy) {
            return;
        }
        boolean retry = unsettled.isPresent();
        Optional<Group> next = retry ? unsettled : collect(racks);
        next.ifPresent(group -> {
            busy = true;
            context.threads().calls().execute(() -> run(group, retry));
        });
    }

    private Optional<Group> collect(List<RackRunner> racks) {
        Map<RackRunner, List<RowChange>> changes = new LinkedHashMap<>();
        int room = JobRows.MAX_TRANSACTION_ROWS;
        // Starts with another rack each time, so that one with many changes does not hold up the rest.
        firstRack++;
        for (int i = 0; i < racks.size() && room > 0; i++) {
            RackRunner rack = racks.get((firstRack + i) % racks.size());
            List<RowChange> batch = rack.nextBatch(room);
            room -= batch.size();
            if (!batch.isEmpty()) {
                changes.put(rack, batch);
            }
        }
        return changes.isEmpty() ? Optional.empty() : Optional.of(new Group(transactionOf(changes), changes));
    }

    private TableTransaction transactionOf(Map<RackRunner, List<RowChange>> changes) {
        List<Check> checks = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        changes.forEach((rack, batch) -> {
            checks.add(new Check(
                    rows.shardKey(rack.shard()), rack.shardRowVersion().orElseThrow()));
            for (RowChange change : batch) {
                String key = rows.taskKey(rack.shard(), change.task());
                checks.add(new Check(key, change.version()));
                writes.add(new Write(key, JobRows.toJson(change.to())));
            }
        });
        return new TableTransaction(UUID.randomUUID().toString(), checks, writes);
    }

    private void run(Group group, boolean retry) {
        Result result;
        Optional<String> conflict = Optional.empty();
        try {
            context.table().transact(group.transaction());
            result = Result.COMMITTED;
        } catch (TransactionConflictException e) {
            conflict = Optional.of(e.key());
            result = retry ? settle(group) : Result.NOT_COMMITTED;
        } catch (OutcomeUnknownException e) {
            result = Result.UNKNOWN;
        } catch (PlatformUnavailableException e) {
            // The first attempt may still take effect when a repetition certainly did not.
            result = retry ? Result.UNKNOWN : Result.NOT_COMMITTED;
        }
        Result settled = result;
        Optional<String> conflictKey = conflict;
        context.threads().loop().execute(() -> finish(group, settled, conflictKey));
    }

    /** A conflict rules out that an earlier attempt takes effect from now on, so its token tells what became of it. */
    private Result settle(Group group) {
        try {
            boolean applied = context.table().tookEffect(group.transaction().token());
            return applied ? Result.COMMITTED : Result.NOT_COMMITTED;
        } catch (PlatformUnavailableException e) {
            return Result.UNKNOWN;
        }
    }

    private void finish(Group group, Result result, Optional<String> conflictKey) {
        busy = false;
        unsettled = result == Result.UNKNOWN ? Optional.of(group) : Optional.empty();
        switch (result) {
            case COMMITTED ->
                group.changes().forEach((rack, batch) -> {
                    rack.scheduler().handleCommit(batch);
                    rack.sendCommands();
                });
            case NOT_COMMITTED -> {
                group.changes().forEach((rack, batch) -> rack.scheduler().handleCommitFailure(batch));
                conflictKey.ifPresent(key -> resolveConflict(group, key));
            }
            case UNKNOWN ->
                LOG.atWarning().log(
                        "outcome of transaction %s is unknown",
                        group.transaction().token());
            default -> throw new IllegalStateException("result " + result + " is not handled");
        }
    }

    private void resolveConflict(Group group, String key) {
        group.changes().forEach((rack, batch) -> {
            if (rows.shardKey(rack.shard()).equals(key)) {
                rack.readAgain();
            }
            batch.stream()
                    .filter(change -> rows.taskKey(rack.shard(), change.task()).equals(key))
                    .forEach(change -> rack.reload(change.task()));
        });
    }
}
