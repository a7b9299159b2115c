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
 * Commits the row changes of all racks that this node owns, one transaction at a time.
 *
 * <p>A transaction checks the version of the shard row of each rack in it, so it fails if one of the racks has a new owner.
 * A transaction with an unknown outcome is sent again unchanged until its outcome is known. This is safe when an earlier
 * send arrives late, because the checks pass for only one of the sends.
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

    /** A transaction with the row changes of each rack in it. */
    private record ChangeBatch(TableTransaction transaction, Map<RackController, List<RowChange>> changes) {}

    private enum CommitOutcome {
        COMMITTED,
        NOT_COMMITTED,
        UNKNOWN
    }

    /** Sends the next transaction unless one is in flight; called on the loop. */
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
        // Starts with another rack each time, so that a rack with many changes does not delay the others.
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
            // An earlier send may still take effect although the retry certainly did not.
            outcome = retry ? CommitOutcome.UNKNOWN : CommitOutcome.NOT_COMMITTED;
        }
        CommitOutcome finalOutcome = outcome;
        Optional<String> conflictKey = conflict;
        context.executors().loop().execute(() -> finish(batch, finalOutcome, conflictKey));
    }

    /** After a conflict no earlier send can take effect any more, so the token shows whether one of them did. */
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
            default -> throw new IllegalStateException("unhandled commit outcome " + outcome);
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
