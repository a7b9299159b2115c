package org.tamarackline.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

/** Content of one transaction of a {@link Committer}. */
final class CommitBatch {

    /** Interval at which the learned interference estimates are stored. */
    private static final Duration ESTIMATES_INTERVAL = Duration.ofSeconds(2);

    /** Maximum number of records that are written for a job. */
    private static final int MAX_WRITES_PER_JOB = 3;

    /**
     * Number of records of a transaction that are kept for processed ends and their jobs. Otherwise thousands of other dirty
     * jobs, such as cancelled ones, delay the acknowledgement of ends until all of them are stored.
     */
    private static final int WRITES_FOR_JOBS_WITH_ENDS = FleetConstants.MAX_COMMIT_WRITES / 2;

    /** Maximum number of submissions, each of which takes a write and a condition. */
    private static final int MAX_SUBMISSIONS = 20;

    private final LeaderContext context;
    private final InstantSource timeOfDay;
    private final Committer.Callbacks leader;
    private final PendingChanges changes;
    private final boolean cordonsPermitted;
    private final List<RecordStore.Condition> conditions = new ArrayList<>();
    private final List<ForwardedSubmissions.Submission> submissions = new ArrayList<>();
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

    /**
     * Creates an empty batch.
     *
     * @param cordonsPermitted whether runners may be cordoned
     */
    CommitBatch(
            LeaderContext context,
            InstantSource timeOfDay,
            Committer.Callbacks leader,
            PendingChanges changes,
            boolean cordonsPermitted) {
        this.context = context;
        this.timeOfDay = timeOfDay;
        this.leader = leader;
        this.changes = changes;
        this.cordonsPermitted = cordonsPermitted;
    }

    boolean empty() {
        return writes.isEmpty();
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

    /** Takes the changes that are due and fit. */
    void fill() {
        addHeldEnds();
        addJobs(context.fleet().jobs()::takeDirtyJobWithEnds, WRITES_FOR_JOBS_WITH_ENDS);
        addSubmissions();
        addJobs(context.fleet().jobs()::takeDirtyJob, maxWrites());
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
                && nowNanos - changes.estimatesStoredNanos > ESTIMATES_INTERVAL.toNanos()) {
            changes.estimatesStoredNanos = nowNanos;
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
            changes.storedProgress.add(job.id());
            write(RecordStore.Table.PROGRESS, job.id(), RecordCodec.encodeProgress(progress));
            return;
        }
        write(RecordStore.Table.JOBS, job.id(), RecordCodec.encodeFinishedJob(job.terminalState(), timeOfDay.millis()));
        if (changes.storedProgress.contains(job.id())) {
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

    /** Adds submissions, each on condition that its job does not exist. */
    private void addSubmissions() {
        submissions.addAll(changes.submissions.take(MAX_SUBMISSIONS));
        for (ForwardedSubmissions.Submission submission : submissions) {
            conditions.add(new RecordStore.Condition(RecordStore.Table.JOBS, submission.job(), 0));
            write(RecordStore.Table.JOBS, submission.job(), submission.value());
        }
    }

    private void removeObsoleteEnds() {
        for (HeldEnd end : context.fleet().jobs().held().obsoleteEnds()) {
            if (writes.size() < maxWrites()) {
                removedEnds.add(end);
                write(RecordStore.Table.PROGRESS, RecordCodec.heldEndKey(end), null);
            }
        }
    }

    private void addCancelledHeldJobs() {
        for (String job : context.fleet().jobs().held().cancellations()) {
            if (writes.size() + 3 > maxWrites()) {
                break;
            }
            cancelledHeldJobs.add(job);
            write(RecordStore.Table.JOBS, job, RecordCodec.encodeFinishedJob(JobState.CANCELLED, timeOfDay.millis()));
            if (changes.storedProgress.contains(job)) {
                write(RecordStore.Table.PROGRESS, job, null);
            }
            write(RecordStore.Table.JOBS, StoredJob.cancelKey(job), null);
        }
    }

    private void addRosterChanges() {
        for (RunnerDescriptor runner : List.copyOf(changes.toAddToRoster.values())) {
            if (writes.size() < maxWrites()) {
                changes.toAddToRoster.remove(runner.id());
                addedToRoster.add(runner);
                leader.cordons().onUncordonSent(runner.id());
                write(RecordStore.Table.ROSTER, runner.id(), RecordCodec.encodeRoster(RosterRecord.uncordoned(runner)));
            }
        }
        for (String runner : List.copyOf(changes.toCordon)) {
            if (cordonsPermitted && writes.size() < maxWrites()) {
                changes.toCordon.remove(runner);
                leader.cordons().prepareCordon(runner).ifPresent(this::addCordoned);
            }
        }
        for (String runner : List.copyOf(changes.toRemoveFromRoster)) {
            if (writes.size() < maxWrites()) {
                changes.toRemoveFromRoster.remove(runner);
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
        for (String job : List.copyOf(changes.finishedJobsToRemove)) {
            if (writes.size() < maxWrites()) {
                changes.finishedJobsToRemove.remove(job);
                removedJobs.add(job);
                write(RecordStore.Table.JOBS, job, null);
            }
        }
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        writes.add(new RecordStore.Write(table, key, value));
    }

    /** The transaction was applied. */
    void onApplied() {
        changes.submissions.onStored(submissions);
        HeldJobs held = context.fleet().jobs().held();
        held.markStored(heldEnds);
        held.markRemoved(removedEnds);
        for (String job : cancelledHeldJobs) {
            changes.storedProgress.remove(job);
            context.log().heldJobReleased(job, "it is cancelled");
            context.fleet().jobs().addFinished(job, JobState.CANCELLED);
        }
        for (Job job : jobs) {
            held.markObsolete(job.id());
            if (terminalStates.get(job) != null) {
                changes.storedProgress.remove(job.id());
                context.fleet().jobs().markStored(job);
            }
        }
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
