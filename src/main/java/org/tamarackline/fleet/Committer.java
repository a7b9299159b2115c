package org.tamarackline.fleet;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerDescriptor;

/**
 * Stores the changes of a leader's jobs and roster. Batches several changes into one transaction and sends one
 * transaction at a time.
 */
final class Committer {

    /** Callbacks of a committer to its leader. */
    interface Callbacks {

        /** Returns whether transactions may be sent. */
        boolean leading();

        /** The store has a leader record other than the one that this leader began with. */
        void onLeaderRecordChanged(RecordStore.Entry entry);

        /** The store confirmed the leader by a request sent at this time. */
        void onLeadershipConfirmed(long sentNanos);

        /** Returns the sessions whose ended runs are acknowledged once they are stored. */
        Iterable<RunnerSession> sessions();

        /** The placement of runs is being stored; they are started once it is. */
        void onStartsExpected(List<Run> runs);

        /** The runner is stored on the roster and may get commands. */
        void onAddedToRoster(RunnerDescriptor runner);

        /** Returns the epoch below which all leaders are known to have ended. */
        long endedBelowEpoch();

        /** Returns the cordons of the runners. */
        RunnerCordons cordons();

        /** Requests a scheduling round, because a transaction has ended. */
        void requestSchedulingRound();

        /** Changes that were kept out of the transactions may be stored again. */
        void retryChanges();
    }

    private final LeaderContext context;
    private final RecordStore store;
    private final InstantSource timeOfDay;
    private final Callbacks leader;
    private final long epoch;
    private final long leaderVersion;

    private long sequenceVersion;
    private long sequenceNumber;
    private boolean sequenceDue;
    private boolean flushScheduled;
    private boolean storeFailing;
    private final RejectionSearch rejectionSearch = new RejectionSearch();

    private final PendingChanges changes;
    /** Transaction without an answer, null if there is none. */
    private CommitBatch batchInFlight;

    Committer(
            LeaderContext context,
            RecordStore store,
            InstantSource timeOfDay,
            Callbacks leader,
            long epoch,
            long leaderVersion,
            long sequenceVersion) {
        this.context = context;
        this.store = store;
        this.timeOfDay = timeOfDay;
        this.leader = leader;
        this.epoch = epoch;
        this.leaderVersion = leaderVersion;
        this.sequenceVersion = sequenceVersion;
        this.changes = new PendingChanges(context);
    }

    /** Adds the records of progress that the store has. */
    void addStoredProgress(ProgressRecords records) {
        changes.progress.addAll(records);
    }

    /** Removes the stored progress of jobs that are not open. */
    void removeProgressOfOthers(Predicate<String> open) {
        changes.progress.markOthersObsolete(open);
        scheduleFlushIfDirty();
    }

    /** Adds a runner to the roster with the next transaction. */
    void addToRoster(RunnerDescriptor runner) {
        changes.toRemoveFromRoster.remove(runner.id());
        changes.toAddToRoster.put(runner.id(), runner);
        scheduleFlush(false);
    }

    /** Stores the commit sequence soon, even if there is nothing else to store. */
    void storeSequence() {
        sequenceDue = true;
        scheduleFlush(false);
    }

    /** Stores that a silent runner is cordoned, and by when its lease has expired. */
    void cordon(String runner) {
        changes.toCordon.add(runner);
        // While the store fails no runner is cordoned, because it could not be uncordoned. Storing the sequence detects
        // when the store is available again.
        sequenceDue |= storeFailing;
        scheduleFlush(true);
    }

    /** Removes a runner on which nothing can run any more from the roster. */
    void removeFromRoster(String runner) {
        changes.toAddToRoster.remove(runner);
        changes.toCordon.remove(runner);
        changes.toRemoveFromRoster.add(runner);
    }

    /** Returns the time for which a rejected change is kept out of the transactions, in milliseconds. */
    long isolatedForMs(ChangeKey change) {
        return changes.isolated.remainingMs(change);
    }

    /** Returns whether the store has progress of a job. */
    boolean hasStoredProgress(String job) {
        return changes.progress.contains(job);
    }

    /** Removes a job that ended long ago. */
    void removeFinishedJob(String job) {
        changes.finishedJobsToRemove.add(job);
    }

    /** Stores a job that another node passed on, unless the store has it. */
    void submit(String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {
        changes.submissions.add(job, value, callback);
        scheduleFlush(false);
    }

    /** Ends the submissions that wait, because the leader ends. */
    void endSubmissions() {
        changes.submissions.endAll(batchInFlight == null ? List.of() : batchInFlight.submissions());
    }

    /** Sends a transaction soon, to have the store confirm the leader. */
    void requestConfirmation() {
        sequenceDue = true;
        scheduleFlush(true);
    }

    /** Stores changes again that were kept out of the transactions. */
    void retryChanges() {
        scheduleFlush(false);
    }

    /** Schedules a transaction if there are changes to store or ends to acknowledge. */
    void scheduleFlushIfDirty() {
        if (context.fleet().jobs().hasUrgentDirtyJobs()) {
            scheduleFlush(true);
        } else if (context.fleet().jobs().hasDirtyJobs()
                || context.fleet().jobs().held().dirty()
                || changes.progress.hasObsolete()
                || !changes.finishedJobsToRemove.isEmpty()) {
            scheduleFlush(false);
        } else if (batchInFlight == null && hasEndsToStore()) {
            storeSequence();
        }
    }

    /** Ends whose jobs are stored already, such as cancelled ones, make no job dirty. */
    private boolean hasEndsToStore() {
        for (RunnerSession session : leader.sessions()) {
            if (session.hasEndsToStore()) {
                return true;
            }
        }
        return false;
    }

    private void scheduleFlush(boolean immediately) {
        if (batchInFlight != null || !leader.leading()) {
            return;
        }
        if (immediately && !storeFailing) {
            flush();
        } else if (!flushScheduled) {
            flushScheduled = true;
            context.loop()
                    .schedule(storeFailing ? FleetConstants.STORE_RETRY_DELAY : FleetConstants.COMMIT_LINGER, () -> {
                        flushScheduled = false;
                        flush();
                    });
        }
    }

    private void flush() {
        if (batchInFlight != null || !leader.leading()) {
            return;
        }
        CommitBatch batch = new CommitBatch(context, timeOfDay, leader, changes, !storeFailing, rejectionSearch);
        batch.fill();
        if (batch.empty() && rejectionSearch.active()) {
            // What the search was to send is no longer needed.
            rejectionSearch.onStored();
            scheduleFlush(false);
            return;
        }
        if (batch.empty() && !sequenceDue) {
            return;
        }
        sequenceDue = false;
        batchInFlight = batch;
        long sentNanos = context.loop().nowNanos();
        leader.onStartsExpected(batch.pendingStarts());
        store.transact(transaction(batch), result -> {
            batchInFlight = null;
            context.recordCommit(result, sentNanos);
            if (leader.leading()) {
                onResult(batch, result, sentNanos);
            }
        });
    }

    private void onResult(CommitBatch batch, RecordStore.TransactionResult result, long sentNanos) {
        switch (result) {
            case RecordStore.TransactionResult.Applied applied -> {
                reportStoreState(false, "");
                sequenceVersion = applied.version();
                rejectionSearch.onStored();
                leader.onLeadershipConfirmed(sentNanos);
                batch.onApplied();
            }
            case RecordStore.TransactionResult.Conflict conflict -> onConflict(batch, conflict, sentNanos);
            case RecordStore.TransactionResult.NotApplied notApplied -> {
                reportStoreState(true, notApplied.cause());
                changes.submissions.onRefused(batch.submissions());
                requeue(batch);
            }
            case RecordStore.TransactionResult.Rejected rejected -> onRejected(batch, rejected.cause());
            case RecordStore.TransactionResult.Unknown unknown -> {
                reportStoreState(true, unknown.cause());
                changes.submissions.onUnknown(batch.submissions());
                requeue(batch);
            }
        }
        leader.requestSchedulingRound();
        if (rejectionSearch.active()) {
            scheduleFlush(true);
        }
        scheduleFlushIfDirty();
        if (!changes.toAddToRoster.isEmpty()
                || !changes.toCordon.isEmpty()
                || !changes.submissions.isEmpty()
                || sequenceDue) {
            scheduleFlush(false);
        }
    }

    /** Seeks the change that the store rejects by halving the transactions, and isolates it. */
    private void onRejected(CommitBatch batch, String cause) {
        rejectionSearch.onRejected(batch.changeKeys());
        if (batch.changeKeys().size() == 1) {
            sequenceDue = true;
            batch.isolateOnlyChange(cause);
            return;
        }
        if (batch.changeKeys().isEmpty()) {
            // Then the store does not accept this leader's transactions at all.
            reportStoreState(true, cause);
        }
        changes.submissions.onRefused(batch.submissions());
        requeue(batch);
    }

    private void onConflict(CommitBatch batch, RecordStore.TransactionResult.Conflict conflict, long sentNanos) {
        boolean confirmed = false;
        Set<String> existing = new HashSet<>();
        Set<String> withdrawn = new HashSet<>();
        for (RecordStore.Entry entry : conflict.current()) {
            if (entry.key().equals(LeaderRecord.KEY) && entry.version() != leaderVersion) {
                leader.onLeaderRecordChanged(entry);
                changes.submissions.onRefused(batch.submissions());
                requeue(batch);
                return;
            }
            confirmed |= entry.key().equals(LeaderRecord.KEY);
            if (entry.key().equals(CommitSequence.KEY)) {
                sequenceVersion = entry.version();
            }
            if (!entry.removed()) {
                existing.add(entry.key());
            }
            if (RecordCodec.isWithdrawnJob(entry)) {
                withdrawn.add(entry.key());
            }
        }
        changes.submissions.onConflict(batch.submissions(), existing, withdrawn);
        // An earlier transaction took effect although its response was lost; what it wrote is written again.
        if (confirmed) {
            leader.onLeadershipConfirmed(sentNanos);
        }
        requeue(batch);
    }

    private void requeue(CommitBatch batch) {
        sequenceDue = true;
        batch.requeue();
    }

    private RecordStore.Transaction transaction(CommitBatch batch) {
        sequenceNumber++;
        List<RecordStore.Condition> conditions = new ArrayList<>();
        conditions.add(new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, leaderVersion));
        conditions.add(new RecordStore.Condition(RecordStore.Table.PROGRESS, CommitSequence.KEY, sequenceVersion));
        conditions.addAll(batch.conditions());
        List<RecordStore.Write> writes = new ArrayList<>(batch.writes());
        writes.add(new RecordStore.Write(
                RecordStore.Table.PROGRESS,
                CommitSequence.KEY,
                RecordCodec.encodeSequence(new CommitSequence(epoch, sequenceNumber, leader.endedBelowEpoch()))));
        return new RecordStore.Transaction(conditions, writes);
    }

    private void reportStoreState(boolean failing, String cause) {
        if (failing != storeFailing) {
            storeFailing = failing;
            context.log().storeState(failing ? "commits-failing" : "commits-back", cause);
        }
    }
}
