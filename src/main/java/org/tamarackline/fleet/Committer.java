package org.tamarackline.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.tamarackline.core.fleet.HeldEnd;
import org.tamarackline.core.fleet.HeldJobs;
import org.tamarackline.core.fleet.ImagePair;
import org.tamarackline.core.fleet.InterferenceEstimate;
import org.tamarackline.core.fleet.Job;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.ProcessedEnds;
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
    }

    /** Interval at which the learned interference estimates are stored. */
    private static final Duration ESTIMATES_INTERVAL = Duration.ofSeconds(2);

    /** Maximum number of records that are written for a job. */
    private static final int MAX_WRITES_PER_JOB = 3;

    /**
     * Number of records of a transaction that are kept for processed ends and their jobs. Otherwise thousands of other dirty
     * jobs, such as cancelled ones, delay the acknowledgement of ends until all of them are stored.
     */
    private static final int WRITES_FOR_JOBS_WITH_ENDS = FleetConstants.MAX_COMMIT_WRITES / 2;

    private final LeaderContext context;
    private final RecordStore store;
    private final InstantSource timeOfDay;
    private final Callbacks leader;
    private final long epoch;
    private final long leaderVersion;

    private long sequenceVersion;
    private long estimatesStoredNanos;
    private long sequenceNumber;
    private boolean sequenceDue;
    private boolean inFlight;
    private boolean flushScheduled;
    private boolean storeFailing;
    private final Set<String> storedProgress = new HashSet<>();
    private final Map<String, RunnerDescriptor> toAddToRoster = new HashMap<>();
    private final Set<String> toCordon = new LinkedHashSet<>();
    private final Set<String> toRemoveFromRoster = new LinkedHashSet<>();
    private final Set<String> finishedJobsToRemove = new LinkedHashSet<>();

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
    }

    /** Records that the store has progress of a job. */
    void addStoredProgress(String job) {
        storedProgress.add(job);
    }

    /** Adds a runner to the roster with the next transaction. */
    void addToRoster(RunnerDescriptor runner) {
        toRemoveFromRoster.remove(runner.id());
        toAddToRoster.put(runner.id(), runner);
        scheduleFlush(false);
    }

    /** Stores the commit sequence soon, even if there is nothing else to store. */
    void storeSequence() {
        sequenceDue = true;
        scheduleFlush(false);
    }

    /** Stores that a silent runner is cordoned, and by when its lease has expired. */
    void cordon(String runner) {
        toCordon.add(runner);
        // While the store fails no runner is cordoned, because it could not be uncordoned. Storing the sequence detects
        // when the store is available again.
        sequenceDue |= storeFailing;
        scheduleFlush(true);
    }

    /** Removes a runner on which nothing can run any more from the roster. */
    void removeFromRoster(String runner) {
        toAddToRoster.remove(runner);
        toCordon.remove(runner);
        toRemoveFromRoster.add(runner);
    }

    /** Returns whether the store has progress of a job. */
    boolean hasStoredProgress(String job) {
        return storedProgress.contains(job);
    }

    /** Removes a job that ended long ago. */
    void removeFinishedJob(String job) {
        finishedJobsToRemove.add(job);
    }

    /** Sends a transaction soon, to have the store confirm the leader. */
    void requestConfirmation() {
        sequenceDue = true;
        scheduleFlush(true);
    }

    /** Schedules a transaction if there are changes to store or ends to acknowledge. */
    void scheduleFlushIfDirty() {
        if (context.fleet().jobs().hasUrgentDirtyJobs()) {
            scheduleFlush(true);
        } else if (context.fleet().jobs().hasDirtyJobs()
                || context.fleet().jobs().held().dirty()) {
            scheduleFlush(false);
        } else if (!inFlight && hasEndsToStore()) {
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
        if (inFlight || !leader.leading()) {
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
        if (inFlight || !leader.leading()) {
            return;
        }
        Batch batch = new Batch();
        batch.fill();
        if (batch.empty() && !sequenceDue) {
            return;
        }
        sequenceDue = false;
        inFlight = true;
        long sentNanos = context.loop().nowNanos();
        leader.onStartsExpected(batch.pendingStarts);
        store.transact(batch.transaction(), result -> {
            inFlight = false;
            context.recordCommit(result, sentNanos);
            if (leader.leading()) {
                onResult(batch, result, sentNanos);
            }
        });
    }

    private void onResult(Batch batch, RecordStore.TransactionResult result, long sentNanos) {
        switch (result) {
            case RecordStore.TransactionResult.Applied applied -> {
                reportStoreState(false, "");
                sequenceVersion = applied.version();
                leader.onLeadershipConfirmed(sentNanos);
                batch.onApplied();
            }
            case RecordStore.TransactionResult.Conflict conflict -> onConflict(batch, conflict, sentNanos);
            case RecordStore.TransactionResult.NotApplied notApplied -> {
                reportStoreState(true, notApplied.cause());
                batch.requeue();
            }
            case RecordStore.TransactionResult.Unknown unknown -> {
                reportStoreState(true, unknown.cause());
                batch.requeue();
            }
        }
        leader.requestSchedulingRound();
        scheduleFlushIfDirty();
        if (!toAddToRoster.isEmpty() || !toCordon.isEmpty() || sequenceDue) {
            scheduleFlush(false);
        }
    }

    private void onConflict(Batch batch, RecordStore.TransactionResult.Conflict conflict, long sentNanos) {
        boolean confirmed = false;
        for (RecordStore.Entry entry : conflict.current()) {
            if (entry.key().equals(LeaderRecord.KEY) && entry.version() != leaderVersion) {
                leader.onLeaderRecordChanged(entry);
                batch.requeue();
                return;
            }
            confirmed |= entry.key().equals(LeaderRecord.KEY);
            if (entry.key().equals(CommitSequence.KEY)) {
                sequenceVersion = entry.version();
            }
        }
        // An earlier transaction took effect although its response was lost; what it wrote is written again.
        if (confirmed) {
            leader.onLeadershipConfirmed(sentNanos);
        }
        batch.requeue();
    }

    private void reportStoreState(boolean failing, String cause) {
        if (failing != storeFailing) {
            storeFailing = failing;
            context.log().storeState(failing ? "commits-failing" : "commits-back", cause);
        }
    }

    /** Content of one transaction. */
    private final class Batch {

        private final List<RecordStore.Write> writes = new ArrayList<>();
        private final List<Job> jobs = new ArrayList<>();
        private final Map<Job, JobState> terminalStates = new HashMap<>();
        private final List<Run> pendingStarts = new ArrayList<>();
        private final Map<RunnerSession, ProcessedEnds> processedEnds = new LinkedHashMap<>();
        private final List<RunnerDescriptor> addedToRoster = new ArrayList<>();
        private final List<String> cordoned = new ArrayList<>();
        private final List<String> removedFromRoster = new ArrayList<>();
        private final List<String> removedJobs = new ArrayList<>();
        private final List<HeldEnd> heldEnds = new ArrayList<>();
        private final List<HeldEnd> removedEnds = new ArrayList<>();
        private final List<String> cancelledHeldJobs = new ArrayList<>();

        boolean empty() {
            return writes.isEmpty();
        }

        void fill() {
            addHeldEnds();
            addJobs(context.fleet().jobs()::takeDirtyJobWithEnds, WRITES_FOR_JOBS_WITH_ENDS);
            addJobs(context.fleet().jobs()::takeDirtyJob, FleetConstants.MAX_COMMIT_WRITES);
            if (heldEnds.containsAll(context.fleet().jobs().held().unstoredEnds())) {
                for (RunnerSession session : leader.sessions()) {
                    processedEnds.put(session, session.endsToStore());
                }
            }
            removeObsoleteEnds();
            addRosterChanges();
            addCancelledHeldJobs();
            addRemovedJobs();
            addInterferenceEstimates();
        }

        /** Adds jobs while each of them fits. */
        private void addJobs(Supplier<Optional<Job>> nextJob, int maxWrites) {
            while (writes.size() + MAX_WRITES_PER_JOB <= maxWrites) {
                Optional<Job> job = nextJob.get();
                if (job.isEmpty()) {
                    return;
                }
                addJob(job.get());
            }
        }

        /** Adds the interference estimates at intervals, and only to a transaction that is sent anyway. */
        private void addInterferenceEstimates() {
            long nowNanos = context.loop().nowNanos();
            Map<ImagePair, InterferenceEstimate> estimates = context.fleet().interferenceEstimates();
            if (!writes.isEmpty()
                    && !estimates.isEmpty()
                    && nowNanos - estimatesStoredNanos > ESTIMATES_INTERVAL.toNanos()) {
                estimatesStoredNanos = nowNanos;
                write(
                        RecordStore.Table.PROGRESS,
                        RecordCodec.INTERFERENCE_ESTIMATES_KEY,
                        RecordCodec.encodeInterferenceEstimates(estimates));
            }
        }

        private void addJob(Job job) {
            jobs.add(job);
            terminalStates.put(job, job.terminalState());
            if (job.terminalState() == null) {
                JobProgress progress = job.progress();
                pendingStarts.addAll(context.fleet().pendingStarts().unstored(job));
                storedProgress.add(job.id());
                write(RecordStore.Table.PROGRESS, job.id(), RecordCodec.encodeProgress(progress));
                return;
            }
            write(
                    RecordStore.Table.JOBS,
                    job.id(),
                    RecordCodec.encodeFinishedJob(job.terminalState(), timeOfDay.millis()));
            if (storedProgress.contains(job.id())) {
                write(RecordStore.Table.PROGRESS, job.id(), null);
            }
            if (job.terminalState() == JobState.CANCELLED) {
                write(RecordStore.Table.JOBS, StoredJob.cancelKey(job.id()), null);
            }
        }

        /** Adds the ends of the runs of held jobs; the runners may discard no end before all of them are stored. */
        private void addHeldEnds() {
            for (HeldEnd end : context.fleet().jobs().held().unstoredEnds()) {
                if (writes.size() >= WRITES_FOR_JOBS_WITH_ENDS) {
                    break;
                }
                heldEnds.add(end);
                write(RecordStore.Table.PROGRESS, RecordCodec.heldEndKey(end), RecordCodec.encodeHeldEnd(end));
            }
        }

        private void removeObsoleteEnds() {
            for (HeldEnd end : context.fleet().jobs().held().obsoleteEnds()) {
                if (writes.size() < FleetConstants.MAX_COMMIT_WRITES) {
                    removedEnds.add(end);
                    write(RecordStore.Table.PROGRESS, RecordCodec.heldEndKey(end), null);
                }
            }
        }

        private void addCancelledHeldJobs() {
            for (String job : context.fleet().jobs().held().cancellations()) {
                if (writes.size() + 3 > FleetConstants.MAX_COMMIT_WRITES) {
                    break;
                }
                cancelledHeldJobs.add(job);
                write(
                        RecordStore.Table.JOBS,
                        job,
                        RecordCodec.encodeFinishedJob(JobState.CANCELLED, timeOfDay.millis()));
                if (storedProgress.contains(job)) {
                    write(RecordStore.Table.PROGRESS, job, null);
                }
                write(RecordStore.Table.JOBS, StoredJob.cancelKey(job), null);
            }
        }

        private void addRosterChanges() {
            for (RunnerDescriptor runner : List.copyOf(toAddToRoster.values())) {
                if (writes.size() < FleetConstants.MAX_COMMIT_WRITES) {
                    toAddToRoster.remove(runner.id());
                    addedToRoster.add(runner);
                    leader.cordons().onUncordonSent(runner.id());
                    write(
                            RecordStore.Table.ROSTER,
                            runner.id(),
                            RecordCodec.encodeRoster(RosterRecord.uncordoned(runner)));
                }
            }
            for (String runner : List.copyOf(toCordon)) {
                if (!storeFailing && writes.size() < FleetConstants.MAX_COMMIT_WRITES) {
                    toCordon.remove(runner);
                    leader.cordons().prepareCordon(runner).ifPresent(this::addCordoned);
                }
            }
            for (String runner : List.copyOf(toRemoveFromRoster)) {
                if (writes.size() < FleetConstants.MAX_COMMIT_WRITES) {
                    toRemoveFromRoster.remove(runner);
                    removedFromRoster.add(runner);
                    write(RecordStore.Table.ROSTER, runner, null);
                }
            }
        }

        private void addCordoned(RosterRecord roster) {
            cordoned.add(roster.runner().id());
            write(RecordStore.Table.ROSTER, roster.runner().id(), RecordCodec.encodeRoster(roster));
        }

        private void addRemovedJobs() {
            for (String job : List.copyOf(finishedJobsToRemove)) {
                if (writes.size() < FleetConstants.MAX_COMMIT_WRITES) {
                    finishedJobsToRemove.remove(job);
                    removedJobs.add(job);
                    write(RecordStore.Table.JOBS, job, null);
                }
            }
        }

        private void write(RecordStore.Table table, String key, byte[] value) {
            writes.add(new RecordStore.Write(table, key, value));
        }

        RecordStore.Transaction transaction() {
            sequenceNumber++;
            List<RecordStore.Write> all = new ArrayList<>(writes);
            all.add(new RecordStore.Write(
                    RecordStore.Table.PROGRESS,
                    CommitSequence.KEY,
                    RecordCodec.encodeSequence(new CommitSequence(epoch, sequenceNumber, leader.endedBelowEpoch()))));
            return new RecordStore.Transaction(
                    List.of(
                            new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, leaderVersion),
                            new RecordStore.Condition(RecordStore.Table.PROGRESS, CommitSequence.KEY, sequenceVersion)),
                    all);
        }

        void onApplied() {
            HeldJobs held = context.fleet().jobs().held();
            held.markStored(heldEnds);
            held.markRemoved(removedEnds);
            for (String job : cancelledHeldJobs) {
                storedProgress.remove(job);
                context.log().heldJobReleased(job, "it is cancelled");
                context.fleet().jobs().addFinished(job, JobState.CANCELLED);
            }
            for (Job job : jobs) {
                held.markObsolete(job.id());
                if (terminalStates.get(job) != null) {
                    storedProgress.remove(job.id());
                    context.fleet().jobs().markStored(job);
                }
            }
            context.fleet().pendingStarts().markStored(pendingStarts);
            removedJobs.forEach(context.fleet().jobs()::removeFinished);
            cordoned.forEach(leader.cordons()::onCordonStored);
            addedToRoster.forEach(leader::onAddedToRoster);
            processedEnds.forEach(RunnerSession::onEndsStored);
        }

        void requeue() {
            sequenceDue = true;
            context.fleet().jobs().returnDirtyJobs(jobs);
            for (RunnerDescriptor runner : addedToRoster) {
                toAddToRoster.putIfAbsent(runner.id(), runner);
            }
            toCordon.addAll(cordoned);
            removedFromRoster.removeIf(toAddToRoster::containsKey);
            toRemoveFromRoster.addAll(removedFromRoster);
            finishedJobsToRemove.addAll(removedJobs);
        }
    }
}
