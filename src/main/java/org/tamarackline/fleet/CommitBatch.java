package org.tamarackline.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.tamarackline.core.fleet.HeldEnd;
import org.tamarackline.core.fleet.HeldJobs;
import org.tamarackline.core.fleet.ImagePair;
import org.tamarackline.core.fleet.InterferenceEstimate;
import org.tamarackline.core.fleet.Job;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.ProcessedEnds;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerDescriptor;

/** Content of one transaction of a {@link Committer}. */
final class CommitBatch {

    /** Interval at which the learned interference estimates are stored. */
    private static final Duration ESTIMATES_INTERVAL = Duration.ofSeconds(2);

    /** Maximum number of records that are written for a job that has ended. */
    private static final int MAX_WRITES_OF_ENDED_JOB = 3;

    /**
     * Number of records of a transaction that are kept for processed ends and their jobs. Otherwise thousands of other dirty
     * jobs, such as cancelled ones, delay the acknowledgement of ends until all of them are stored.
     */
    private static final int WRITES_FOR_JOBS_WITH_ENDS = FleetConstants.MAX_COMMIT_WRITES / 2;

    /** Size of the records that are kept for them, in bytes. */
    private static final int BYTES_FOR_JOBS_WITH_ENDS = RecordStore.MAX_TRANSACTION_BYTES / 2;

    /** Maximum number of submissions, each of which takes a write and a condition. */
    private static final int MAX_SUBMISSIONS = 20;

    private final LeaderContext context;
    private final InstantSource timeOfDay;
    private final Committer.Callbacks leader;
    private final PendingChanges changes;
    private final boolean cordonsPermitted;
    private final RejectionSearch search;
    /** The changes that the batch contains, apart from the commit sequence. */
    private final List<ChangeKey> changeKeys = new ArrayList<>();

    private int bytes;
    private final List<RecordStore.Condition> conditions = new ArrayList<>();
    private final List<ForwardedSubmissions.Submission> submissions = new ArrayList<>();
    private final List<RecordStore.Write> writes = new ArrayList<>();
    private final List<Job> jobs = new ArrayList<>();
    private final Map<Job, JobState> terminalStates = new HashMap<>();
    /** Jobs of which the batch does not contain all changes. */
    private final List<Job> partlyAddedJobs = new ArrayList<>();

    private final List<ProgressRecords.Change> progressChanges = new ArrayList<>();
    private final List<ProgressCodec.Key> removedProgress = new ArrayList<>();
    private final List<Run> pendingStarts = new ArrayList<>();
    private final Map<RunnerSession, ProcessedEnds> processedEnds = new LinkedHashMap<>();
    private final List<RunnerDescriptor> addedToRoster = new ArrayList<>();
    private final List<String> cordoned = new ArrayList<>();
    private final List<String> removedFromRoster = new ArrayList<>();
    private final List<String> removedJobs = new ArrayList<>();
    private final List<HeldEnd> heldEnds = new ArrayList<>();
    private final List<HeldEnd> removedEnds = new ArrayList<>();
    private final List<String> cancelledHeldJobs = new ArrayList<>();

    /**
     * Creates an empty batch.
     *
     * @param cordonsPermitted whether runners may be cordoned
     * @param search search for a change that the store rejects, which limits the changes
     */
    CommitBatch(
            LeaderContext context,
            InstantSource timeOfDay,
            Committer.Callbacks leader,
            PendingChanges changes,
            boolean cordonsPermitted,
            RejectionSearch search) {
        this.context = context;
        this.timeOfDay = timeOfDay;
        this.leader = leader;
        this.changes = changes;
        this.cordonsPermitted = cordonsPermitted;
        this.search = search;
    }

    boolean empty() {
        return writes.isEmpty();
    }

    /** Returns the independent changes. */
    List<ChangeKey> changeKeys() {
        return changeKeys;
    }

    /** Returns the conditions, besides those on the leader. */
    List<RecordStore.Condition> conditions() {
        return conditions;
    }

    List<RecordStore.Write> writes() {
        return writes;
    }

    /** Returns the runs that are started once the transaction is applied. */
    List<Run> pendingStarts() {
        return pendingStarts;
    }

    /** Returns the submissions that the transaction stores. */
    List<ForwardedSubmissions.Submission> submissions() {
        return submissions;
    }

    /** Returns the maximum number of writes, less one for each condition. */
    private int maxWrites() {
        return FleetConstants.MAX_COMMIT_WRITES - conditions.size();
    }

    /** Returns whether another change with records of this number and size fits. */
    private boolean fits(int records, int valueBytes) {
        return writes.size() + records <= maxWrites() && bytes + valueBytes <= RecordStore.MAX_TRANSACTION_BYTES;
    }

    /** Takes the changes that are due and fit. */
    void fill() {
        search.startTest();
        addHeldEnds();
        if (search.active()) {
            addSuspectedJobs();
        } else {
            addJobs(context.fleet().jobs()::takeDirtyJobWithEnds, WRITES_FOR_JOBS_WITH_ENDS, BYTES_FOR_JOBS_WITH_ENDS);
        }
        addSubmissions();
        if (!search.active()) {
            addJobs(context.fleet().jobs()::takeDirtyJob, maxWrites(), RecordStore.MAX_TRANSACTION_BYTES);
        }
        context.fleet().jobs().deferDirtyJobs(partlyAddedJobs);
        for (RunnerSession session : leader.sessions()) {
            processedEnds.put(session, session.endsToStore(heldEnds));
        }
        removeObsoleteEnds();
        addRosterChanges();
        addCancelledHeldJobs();
        addObsoleteProgress();
        addRemovedJobs();
        addInterferenceEstimates();
    }

    private void addSuspectedJobs() {
        for (ChangeKey suspect : search.tested()) {
            if (suspect.kind() == ChangeKey.Kind.JOB) {
                Supplier<Optional<Job>> job = () -> context.fleet().jobs().takeDirtyJob(suspect.id());
                addJobs(job, maxWrites(), RecordStore.MAX_TRANSACTION_BYTES);
            }
        }
    }

    /** Adds jobs while each of them fits whole. */
    private void addJobs(Supplier<Optional<Job>> nextJob, int writeLimit, int byteLimit) {
        int partlyAddedBefore = partlyAddedJobs.size();
        while (writes.size() + MAX_WRITES_OF_ENDED_JOB <= writeLimit
                && bytes < byteLimit
                && fits(MAX_WRITES_OF_ENDED_JOB, 0)
                && partlyAddedJobs.size() == partlyAddedBefore) {
            Optional<Job> job = nextJob.get();
            if (job.isEmpty()) {
                return;
            }
            addJob(job.get(), writeLimit, byteLimit);
        }
    }

    /** Adds the interference estimates at intervals, and only to a transaction that is sent anyway. */
    private void addInterferenceEstimates() {
        long nowNanos = context.loop().nowNanos();
        Map<ImagePair, InterferenceEstimate> estimates = context.fleet().interferenceEstimates();
        if (!writes.isEmpty()
                && !estimates.isEmpty()
                && fits(1, RecordStore.MAX_RECORD_BYTES)
                && nowNanos - changes.estimatesStoredNanos > ESTIMATES_INTERVAL.toNanos()) {
            changes.estimatesStoredNanos = nowNanos;
            addChange(
                    new ChangeKey(ChangeKey.Kind.ESTIMATES, ""),
                    RecordStore.Table.PROGRESS,
                    RecordCodec.INTERFERENCE_ESTIMATES_KEY,
                    RecordCodec.encodeInterferenceEstimates(estimates));
        }
    }

    private void addJob(Job job, int writeLimit, int byteLimit) {
        if (job.terminalState() == null) {
            addProgress(job, writeLimit, byteLimit);
            return;
        }
        changeKeys.add(ChangeKey.job(job.id()));
        jobs.add(job);
        terminalStates.put(job, job.terminalState());
        write(RecordStore.Table.JOBS, job.id(), RecordCodec.encodeFinishedJob(job.terminalState(), timeOfDay.millis()));
        removeFirstProgressRecord(job.id());
        if (job.terminalState() == JobState.CANCELLED) {
            write(RecordStore.Table.JOBS, StoredJob.cancelKey(job.id()), null);
        }
    }

    private void removeFirstProgressRecord(String job) {
        if (changes.progress.contains(job)) {
            ProgressCodec.Key first = new ProgressCodec.Key(job, 0);
            removedProgress.add(first);
            write(RecordStore.Table.PROGRESS, first.text(), null);
        }
    }

    /** Adds the changed progress of a job as far as it fits; the rest is stored by a later transaction. */
    private void addProgress(Job job, int writeLimit, int byteLimit) {
        List<ProgressRecords.Change> changed = changes.progress.changesOf(job);
        int added = 0;
        while (added < changed.size()
                && writes.size() < writeLimit
                && bytes + changed.get(added).value().length <= byteLimit) {
            ProgressRecords.Change change = changed.get(added);
            if (!tryWrite(
                    RecordStore.Table.PROGRESS, change.key().text(), change.value(), cause -> isolate(job, cause))) {
                return;
            }
            progressChanges.add(change);
            changes.progress.onSent(change);
            added++;
        }
        changeKeys.add(ChangeKey.job(job.id()));
        if (added < changed.size()) {
            partlyAddedJobs.add(job);
        } else {
            jobs.add(job);
            pendingStarts.addAll(context.fleet().pendingStarts().unstored(job));
        }
    }

    /** Adds the ends of the runs of held jobs; the runners may discard no end before all of them are stored. */
    private void addHeldEnds() {
        for (HeldEnd end : context.fleet().jobs().held().unstoredEnds()) {
            if (writes.size() >= WRITES_FOR_JOBS_WITH_ENDS || !fits(1, RecordStore.MAX_RECORD_BYTES)) {
                break;
            }
            String key = RecordCodec.heldEndKey(end);
            if (addChange(endKey(key), RecordStore.Table.PROGRESS, key, RecordCodec.encodeHeldEnd(end))) {
                heldEnds.add(end);
            }
        }
    }

    private static ChangeKey endKey(String key) {
        return new ChangeKey(ChangeKey.Kind.END, key);
    }

    private static ChangeKey submissionKey(String job) {
        return new ChangeKey(ChangeKey.Kind.SUBMISSION, job);
    }

    /** Adds submissions, each on condition that its job does not exist. */
    private void addSubmissions() {
        submissions.addAll(changes.submissions.take(
                MAX_SUBMISSIONS, RecordStore.MAX_TRANSACTION_BYTES - bytes, job -> search.permits(submissionKey(job))));
        for (ForwardedSubmissions.Submission submission : submissions) {
            conditions.add(new RecordStore.Condition(RecordStore.Table.JOBS, submission.job(), 0));
            changeKeys.add(submissionKey(submission.job()));
            write(RecordStore.Table.JOBS, submission.job(), submission.value());
        }
    }

    private void removeObsoleteEnds() {
        for (HeldEnd end : context.fleet().jobs().held().obsoleteEnds()) {
            String key = RecordCodec.heldEndKey(end);
            if (fits(1, 0) && addChange(endKey(key), RecordStore.Table.PROGRESS, key, null)) {
                removedEnds.add(end);
            }
        }
    }

    private void addObsoleteProgress() {
        for (ProgressCodec.Key key : changes.progress.obsolete()) {
            boolean added = fits(1, 0)
                    && addChange(
                            new ChangeKey(ChangeKey.Kind.OBSOLETE_PROGRESS, key.text()),
                            RecordStore.Table.PROGRESS,
                            key.text(),
                            null);
            if (added) {
                removedProgress.add(key);
            }
        }
    }

    private void addCancelledHeldJobs() {
        for (String job : context.fleet().jobs().held().cancellations()) {
            if (!fits(MAX_WRITES_OF_ENDED_JOB, 0)) {
                break;
            }
            byte[] finished = RecordCodec.encodeFinishedJob(JobState.CANCELLED, timeOfDay.millis());
            if (!addChange(ChangeKey.job(job), RecordStore.Table.JOBS, job, finished)) {
                continue;
            }
            cancelledHeldJobs.add(job);
            removeFirstProgressRecord(job);
            write(RecordStore.Table.JOBS, StoredJob.cancelKey(job), null);
        }
    }

    private void addRosterChanges() {
        for (RunnerDescriptor runner : List.copyOf(changes.toAddToRoster.values())) {
            byte[] roster = RecordCodec.encodeRoster(RosterRecord.uncordoned(runner));
            if (fits(1, roster.length)
                    && addChange(ChangeKey.runner(runner.id()), RecordStore.Table.ROSTER, runner.id(), roster)) {
                changes.toAddToRoster.remove(runner.id());
                addedToRoster.add(runner);
                leader.cordons().onUncordonSent(runner.id());
            }
        }
        for (String runner : List.copyOf(changes.toCordon)) {
            if (cordonsPermitted && fits(1, RecordStore.MAX_RECORD_BYTES) && permitted(ChangeKey.runner(runner))) {
                changes.toCordon.remove(runner);
                leader.cordons().prepareCordon(runner).ifPresent(this::addCordoned);
            }
        }
        for (String runner : List.copyOf(changes.toRemoveFromRoster)) {
            if (fits(1, 0) && addChange(ChangeKey.runner(runner), RecordStore.Table.ROSTER, runner, null)) {
                changes.toRemoveFromRoster.remove(runner);
                removedFromRoster.add(runner);
            }
        }
    }

    private void addCordoned(RosterRecord roster) {
        String runner = roster.runner().id();
        if (addChange(ChangeKey.runner(runner), RecordStore.Table.ROSTER, runner, RecordCodec.encodeRoster(roster))) {
            cordoned.add(runner);
        }
    }

    private void addRemovedJobs() {
        for (String job : List.copyOf(changes.finishedJobsToRemove)) {
            // A job that is submitted again under the identifier must not find the progress of this one.
            if (fits(1, 0)
                    && !changes.progress.hasObsolete(job)
                    && addChange(ChangeKey.job(job), RecordStore.Table.JOBS, job, null)) {
                changes.finishedJobsToRemove.remove(job);
                removedJobs.add(job);
            }
        }
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        writes.add(new RecordStore.Write(table, key, value));
        bytes += value == null ? 0 : value.length;
    }

    /** Writes a record; if it is too large, passes the cause to {@code onTooLarge} and returns false. */
    private boolean tryWrite(RecordStore.Table table, String key, byte[] value, Consumer<String> onTooLarge) {
        try {
            write(table, key, value);
            return true;
        } catch (RecordTooLargeException tooLarge) {
            onTooLarge.accept(tooLarge.getMessage());
            return false;
        }
    }

    /** Adds a change of one record, unless it is isolated or too large. */
    private boolean addChange(ChangeKey change, RecordStore.Table table, String key, byte[] value) {
        if (!permitted(change) || !tryWrite(table, key, value, cause -> isolate(change, cause))) {
            return false;
        }
        changeKeys.add(change);
        return true;
    }

    private boolean permitted(ChangeKey change) {
        return search.permits(change) && !changes.isolated.contains(change);
    }

    private void isolate(ChangeKey change, String cause) {
        changes.isolated.isolate(change, cause, leader::retryChanges);
    }

    private void isolate(Job job, String cause) {
        context.fleet().isolateJob(job);
        changes.isolated.isolate(ChangeKey.job(job.id()), cause, () -> {
            context.fleet().jobs().endIsolation(job);
            leader.retryChanges();
        });
    }

    /** The store rejects the only change of this batch; it is kept out of the transactions for some time. */
    void isolateOnlyChange(String cause) {
        changes.submissions.onRejected(submissions, cause);
        requeue();
        for (Job job : jobs) {
            isolate(job, cause);
        }
        for (Job job : partlyAddedJobs) {
            isolate(job, cause);
        }
        if (jobs.isEmpty() && partlyAddedJobs.isEmpty() && submissions.isEmpty()) {
            isolate(changeKeys.getFirst(), cause);
        }
    }

    /** The transaction was applied. */
    void onApplied() {
        changes.submissions.onStored(submissions);
        changes.isolated.onStored(changeKeys);
        progressChanges.forEach(changes.progress::onApplied);
        HeldJobs held = context.fleet().jobs().held();
        held.markStored(heldEnds);
        held.markRemoved(removedEnds);
        for (String job : cancelledHeldJobs) {
            changes.progress.markObsolete(job);
            context.log().heldJobReleased(job, "it is cancelled");
            context.fleet().jobs().addFinished(job, JobState.CANCELLED);
        }
        for (Job job : jobs) {
            held.markObsolete(job.id());
            if (terminalStates.get(job) != null) {
                changes.progress.markObsolete(job.id());
                context.fleet().jobs().markStored(job);
            }
        }
        changes.progress.onRemoved(removedProgress);
        context.fleet().pendingStarts().markStored(pendingStarts);
        removedJobs.forEach(context.fleet().jobs()::removeFinished);
        cordoned.forEach(leader.cordons()::onCordonStored);
        addedToRoster.forEach(leader::onAddedToRoster);
        processedEnds.forEach(RunnerSession::onEndsStored);
    }

    /** The transaction was not applied, or may not be; its changes are stored by a later one. */
    void requeue() {
        context.fleet().jobs().returnDirtyJobs(jobs);
        for (RunnerDescriptor runner : addedToRoster) {
            changes.toAddToRoster.putIfAbsent(runner.id(), runner);
        }
        changes.toCordon.addAll(cordoned);
        removedFromRoster.removeIf(changes.toAddToRoster::containsKey);
        changes.toRemoveFromRoster.addAll(removedFromRoster);
        changes.finishedJobsToRemove.addAll(removedJobs);
    }
}
