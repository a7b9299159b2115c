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
final class RowChangeCommitter {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final JobsContext context;
    private final RowFormat rowFormat;
    private Optional<ChangeBatch> unresolved = Optional.empty();
    private boolean commitInFlight;
    private int firstRackIndex;

    RowChangeCommitter(JobsContext context) {
        this.context = context;
        this.rowFormat = context.rowFormat();
    }

    /** The changes of one transaction by rack. */
    private record ChangeBatch(TableTransaction transaction, Map<RackController, List<RowChange>> changes) {}

    private enum CommitOutcome {
        COMMITTED,
        NOT_COMMITTED,
        UNKNOWN
    }

    /** Starts the next transaction unless one is under way; called on the loop. */
    void commit(List<RackController> racks) {
        if (commitInFlight) {
            return;
        }
        boolean retry = unresolved.isPresent();
        Optional<ChangeBatch> next = retry ? unresolved : nextBatch(racks);
        next.ifPresent(batch -> {
            commitInFlight = true;
            context.executors().blockingCalls().execute(() -> send(batch, retry));
        });
    }

    private Optional<ChangeBatch> nextBatch(List<RackController> racks) {
        Map<RackController, List<RowChange>> changes = new LinkedHashMap<>();
        int remainingRows = RowFormat.MAX_TRANSACTION_ROWS;
        // Starts with another rack each time, so that one with many changes does not hold up the rest.
        firstRackIndex++;
        for (int i = 0; i < racks.size() && remainingRows > 0; i++) {
            RackController rack = racks.get((firstRackIndex + i) % racks.size());
            List<RowChange> rackChanges = rack.nextBatch(remainingRows);
            remainingRows -= rackChanges.size();
            if (!rackChanges.isEmpty()) {
                changes.put(rack, rackChanges);
            }
        }
        return changes.isEmpty() ? Optional.empty() : Optional.of(new ChangeBatch(createTransaction(changes), changes));
    }

    private TableTransaction createTransaction(Map<RackController, List<RowChange>> changes) {
        List<Check> checks = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        changes.forEach((rack, rackChanges) -> {
            checks.add(new Check(
                    rowFormat.shardKey(rack.shard()), rack.shardRowVersion().orElseThrow()));
            for (RowChange change : rackChanges) {
                String key = rowFormat.taskKey(rack.shard(), change.task());
                checks.add(new Check(key, change.version()));
                writes.add(new Write(key, RowFormat.toJson(change.to())));
            }
        });
        return new TableTransaction(UUID.randomUUID().toString(), checks, writes);
    }

    private void send(ChangeBatch batch, boolean retry) {
        CommitOutcome outcome;
        Optional<String> conflict = Optional.empty();
        try {
            context.table().transact(batch.transaction());
            outcome = CommitOutcome.COMMITTED;
        } catch (TransactionConflictException e) {
            conflict = Optional.of(e.key());
            outcome = retry ? resolveByToken(batch) : CommitOutcome.NOT_COMMITTED;
        } catch (OutcomeUnknownException e) {
            outcome = CommitOutcome.UNKNOWN;
        } catch (PlatformUnavailableException e) {
            // The first attempt may still take effect when a repetition certainly did not.
            outcome = retry ? CommitOutcome.UNKNOWN : CommitOutcome.NOT_COMMITTED;
        }
        CommitOutcome finalOutcome = outcome;
        Optional<String> conflictKey = conflict;
        context.executors().loop().execute(() -> finish(batch, finalOutcome, conflictKey));
    }

    /** A conflict rules out that an earlier attempt takes effect from now on, so its token tells what became of it. */
    private CommitOutcome resolveByToken(ChangeBatch batch) {
        try {
            boolean applied = context.table().wasApplied(batch.transaction().token());
            return applied ? CommitOutcome.COMMITTED : CommitOutcome.NOT_COMMITTED;
        } catch (PlatformUnavailableException e) {
            return CommitOutcome.UNKNOWN;
        }
    }

    private void finish(ChangeBatch batch, CommitOutcome outcome, Optional<String> conflictKey) {
        commitInFlight = false;
        unresolved = outcome == CommitOutcome.UNKNOWN ? Optional.of(batch) : Optional.empty();
        switch (outcome) {
            case COMMITTED ->
                batch.changes().forEach((rack, rackChanges) -> {
                    rack.scheduler().handleCommit(rackChanges);
                    rack.sendCommands();
                });
            case NOT_COMMITTED -> {
                batch.changes().forEach((rack, rackChanges) -> rack.scheduler().handleCommitFailure(rackChanges));
                conflictKey.ifPresent(key -> rereadConflictingRow(batch, key));
            }
            case UNKNOWN ->
                LOG.atWarning().log(
                        "outcome of transaction %s is unknown",
                        batch.transaction().token());
            default -> throw new IllegalStateException("result " + outcome + " is not handled");
        }
    }

    private void rereadConflictingRow(ChangeBatch batch, String key) {
        batch.changes().forEach((rack, rackChanges) -> {
            if (rowFormat.shardKey(rack.shard()).equals(key)) {
                rack.requestRescan();
            }
            rackChanges.stream()
                    .filter(change ->
                            rowFormat.taskKey(rack.shard(), change.task()).equals(key))
                    .forEach(change -> rack.reload(change.task()));
        });
    }
}
