package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedSet;
import java.util.Set;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.time.MonotonicClock;

/**
 * Tracks the jobs of a fleet: which of their tasks are ready, which jobs are dirty, that is, changed and not stored
 * yet, and how finished jobs ended.
 */
public final class JobTracker {

    /** Stops the runs of tasks that are no longer needed. */
    interface RunStopper {
        void stopAll(Task task);
    }

    private final FleetObserver observer;
    private final MonotonicClock clock;
    private final RunStopper runStopper;
    private final PendingStarts pendingStarts;
    private final ReadyTasks readyTasks;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, JobState> terminalStates = new LinkedHashMap<>();
    private final Set<Job> recurringJobs = new LinkedHashSet<>();
    /** Dirty jobs, in the order in which they became dirty. */
    private final SequencedSet<Job> dirtyJobs = new LinkedHashSet<>();
    /** Dirty jobs that processed ends belong to, in the order of their first such end. */
    private final SequencedSet<Job> dirtyJobsWithEnds = new LinkedHashSet<>();

    /** Jobs whose changes the store rejects; they are not dirty. */
    private final Set<Job> isolatedJobs = new HashSet<>();

    private final HeldJobs heldJobs = new HeldJobs();

    JobTracker(FleetObserver observer, MonotonicClock clock, PendingStarts pendingStarts, RunStopper runStopper) {
        this.observer = observer;
        this.clock = clock;
        this.readyTasks = new ReadyTasks(clock);
        this.pendingStarts = pendingStarts;
        this.runStopper = runStopper;
    }

    /**
     * Adds an accepted job. Does nothing if the job is known.
     *
     * @param progress stored progress of the job
     * @param inherited whether an earlier leader may have started tasks of the job
     */
    public void add(JobDefinition definition, JobProgress progress, boolean inherited, long nowEpochMs) {
        if (jobs.containsKey(definition.id()) || terminalStates.containsKey(definition.id())) {
            return;
        }
        Job job = new Job(definition, inherited);
        progress.applyTo(job);
        jobs.put(job.id(), job);
        if (definition.scheduledOccurrences() > 0) {
            recurringJobs.add(job);
        }
        createDueOccurrences(job, nowEpochMs);
        for (int occurrence = 0; occurrence < job.createdOccurrences(); occurrence++) {
            updateReadinessOfOccurrence(job, occurrence);
        }
        if (job.allDone()) {
            finish(job, JobState.COMPLETED);
        }
    }

    /** Returns the jobs whose records cannot be read. */
    public HeldJobs held() {
        return heldJobs;
    }

    /** Holds a job because a record of it cannot be read. Does nothing if the job is known. */
    public void hold(String id) {
        if (!jobs.containsKey(id) && !terminalStates.containsKey(id)) {
            heldJobs.hold(id);
        }
    }

    /** Holds a job of which another record cannot be read. Does nothing if the job is known. */
    public void hold(JobDefinition definition) {
        hold(definition.id());
        if (heldJobs.contains(definition.id())) {
            heldJobs.define(definition);
        }
    }

    /**
     * Adds a job that is not held, or no longer, and applies the ends of its runs that were stored while it was held.
     *
     * @see #add
     */
    public void addWithStoredEnds(JobDefinition definition, JobProgress progress, boolean inherited, long nowEpochMs) {
        add(definition, progress, inherited, nowEpochMs);
        heldJobs.release(definition.id()).forEach(this::applyHeldEnd);
    }

    private void applyHeldEnd(HeldEnd end) {
        Task task = findReportedTask(end.task());
        if (task == null || task.done || task.job().terminalState != null) {
            return;
        }
        recordEnd(task, end.runNumber(), end.checkpoint());
        if (end.reason() == EndReason.DONE && !task.step().longRunning()) {
            complete(task);
        } else if (end.reason() == EndReason.FAILED && !task.step().longRunning()) {
            recordFailure(task, end.runNumber());
        }
    }

    /** Removes the stored ends of jobs that are neither open nor held, once all jobs were read. */
    public void removeUnneededEnds() {
        heldJobs.markOthersObsolete(jobs.keySet());
    }

    /** Drops a held job that was removed from the store. */
    public void dropHeld(String id) {
        heldJobs.drop(id);
    }

    /** Adds a job whose terminal state is already stored. */
    public void addFinished(String id, JobState state) {
        terminalStates.put(id, state);
        heldJobs.drop(id);
    }

    /** Removes a finished job that was deleted from the store. */
    public void removeFinished(String id) {
        terminalStates.remove(id);
    }

    /**
     * Cancels a job and stops its runs; those of a held job once the cancellation is stored. Does nothing if the job is
     * unknown or has a terminal state.
     *
     * @return whether the job was open and is cancelled now
     */
    public boolean cancel(String id) {
        Job job = jobs.get(id);
        if (job != null && job.terminalState == null) {
            finish(job, JobState.CANCELLED);
            return true;
        }
        if (heldJobs.contains(id)) {
            heldJobs.cancel(id);
        }
        return false;
    }

    /**
     * Returns the state to report to callers, empty if the job is unknown. COMPLETED and FAILED are reported only once
     * they are stored.
     */
    public Optional<JobState> state(String id) {
        JobState terminalState = terminalStates.get(id);
        if (terminalState != null) {
            return Optional.of(terminalState);
        }
        if (heldJobs.contains(id)) {
            return Optional.of(JobState.HELD);
        }
        Job job = jobs.get(id);
        if (job == null) {
            return Optional.empty();
        }
        if (job.terminalState == JobState.CANCELLED) {
            return Optional.of(JobState.CANCELLED);
        }
        return Optional.of(job.started ? JobState.RUNNING : JobState.QUEUED);
    }

    /** Returns the number of open jobs of a queue of which no task has started. */
    public int queuedJobCount(String queue) {
        int count = 0;
        for (Job job : jobs.values()) {
            if (job.terminalState == null
                    && !job.started
                    && job.definition().queue().name().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of jobs without a stored terminal state. */
    public int openJobCount() {
        return jobs.size();
    }

    /** Returns the number of ready tasks. */
    public int readyTaskCount() {
        return readyTasks.size();
    }

    /** Returns the job that has been dirty for the longest time and marks it as clean; empty if no job is dirty. */
    public Optional<Job> takeDirtyJob() {
        return takeFirst(dirtyJobs);
    }

    /** Same among the dirty jobs to which ended runs belong that their runners keep until the job is stored. */
    public Optional<Job> takeDirtyJobWithEnds() {
        return takeFirst(dirtyJobsWithEnds);
    }

    /** Same for a certain job, if it is dirty. */
    public Optional<Job> takeDirtyJob(String id) {
        Job job = jobs.get(id);
        if (job == null || !dirtyJobs.remove(job)) {
            return Optional.empty();
        }
        dirtyJobsWithEnds.remove(job);
        return Optional.of(job);
    }

    private Optional<Job> takeFirst(SequencedSet<Job> from) {
        if (from.isEmpty()) {
            return Optional.empty();
        }
        Job job = from.getFirst();
        dirtyJobs.remove(job);
        dirtyJobsWithEnds.remove(job);
        return Optional.of(job);
    }

    /** Returns whether a job has changes that are not stored and not part of a transaction. */
    boolean isDirty(String id) {
        Job job = jobs.get(id);
        return job != null && dirtyJobs.contains(job);
    }

    /** Records that an end was processed which can be discarded once the job is stored. */
    void onEndProcessed(String id) {
        if (isDirty(id)) {
            dirtyJobsWithEnds.add(jobs.get(id));
        }
    }

    /** Returns whether any job is dirty. */
    public boolean hasDirtyJobs() {
        return !dirtyJobs.isEmpty();
    }

    /** Returns whether a dirty job has a terminal state or a run that must not start before its placement is stored. */
    public boolean hasUrgentDirtyJobs() {
        for (Job job : dirtyJobs) {
            if (job.terminalState != null || !pendingStarts.unstored(job).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Marks jobs as dirty again after a transaction did not store them or may not have. They keep their place before the
     * jobs that have become dirty since.
     */
    public void returnDirtyJobs(Collection<Job> notStored) {
        List.copyOf(notStored).reversed().forEach(dirtyJobs::addFirst);
    }

    /** Puts dirty jobs behind the others, because a transaction contains only some of their changes. */
    public void deferDirtyJobs(Collection<Job> partlyStored) {
        partlyStored.forEach(dirtyJobs::addLast);
    }

    /** Records that the changes of a job are stored. A job with a terminal state is closed. */
    public void markStored(Job job) {
        if (job.terminalState != null) {
            terminalStates.put(job.id(), job.terminalState);
            jobs.remove(job.id());
            recurringJobs.remove(job);
        }
    }

    /** Records what the end of a run tells, however it ended. */
    void recordEnd(Task task, long runNumber, String checkpoint) {
        task.job().started = true;
        task.lastRunNumber = Math.max(task.lastRunNumber, runNumber);
        task.updateCheckpoint(runNumber, checkpoint);
        markDirty(task.job());
    }

    /** Completes a task and its gang. */
    void complete(Task task) {
        Job job = task.job();
        for (Task member : job.gangOf(task)) {
            if (!member.done) {
                member.done = true;
                job.openTasks--;
                readyTasks.remove(member);
                runStopper.stopAll(member);
            }
        }
        if (job.allDone()) {
            finish(job, JobState.COMPLETED);
        } else if (job.stepDone(task.key().occurrence(), task.key().step())) {
            updateReadinessOfOccurrence(job, task.key().occurrence());
        }
    }

    /** Counts a failed run, and fails the job if its task or gang has used up the attempts. */
    void recordFailure(Task task, long runNumber) {
        task.failedRunNumbers.add(runNumber);
        if (failedAttempts(task) >= task.job().definition().queue().maxAttempts()) {
            finish(task.job(), JobState.FAILED);
        } else {
            updateReadiness(task);
        }
    }

    /** Returns the number of failed runs of a task or its gang, whose members share the number of a run. */
    private static int failedAttempts(Task task) {
        Set<Long> failedRunNumbers = new HashSet<>();
        for (Task member : task.job().gangOf(task)) {
            failedRunNumbers.addAll(member.failedRunNumbers);
        }
        return failedRunNumbers.size();
    }

    void finish(Job job, JobState state) {
        job.terminalState = state;
        job.terminalNanos = clock.nowNanos();
        endIsolation(job);
        dirtyJobs.add(job);
        for (int occurrence = 0; occurrence < job.createdOccurrences(); occurrence++) {
            for (Task[] step : job.occurrence(occurrence)) {
                for (Task task : step) {
                    readyTasks.remove(task);
                    runStopper.stopAll(task);
                }
            }
        }
        observer.jobFinished(job);
    }

    private void createDueOccurrences(Job job, long nowEpochMs) {
        while (job.terminalState == null
                && job.createdOccurrences() < job.definition().occurrences()
                && job.definition().isDue(job.createdOccurrences(), nowEpochMs)) {
            createNextOccurrence(job);
        }
    }

    private void createNextOccurrence(Job job) {
        job.createOccurrence();
        if (job.definition().scheduledOccurrences() > 0) {
            markDirty(job);
        }
        updateReadinessOfOccurrence(job, job.createdOccurrences() - 1);
    }

    void updateReadinessOfOccurrence(Job job, int occurrence) {
        for (Task[] step : job.occurrence(occurrence)) {
            for (Task task : step) {
                updateOwnReadiness(task);
            }
        }
    }

    /**
     * Adds a task to the ready tasks or removes it from them, depending on its state. If the task is done, does so with the
     * tasks of its occurrence, since another run of it may have ended.
     */
    void updateReadiness(Task task) {
        if (endsOtherRunsOfItsStep(task)) {
            updateReadinessOfOccurrence(task.job(), task.key().occurrence());
        } else {
            updateOwnReadiness(task);
        }
    }

    /** Returns whether the step of a task is done and no run of it is left, so that later steps may start. */
    private static boolean endsOtherRunsOfItsStep(Task task) {
        int occurrence = task.key().occurrence();
        int step = task.key().step();
        return task.done
                && task.runs.isEmpty()
                && task.job().terminalState == null
                && task.step().endKnownToOneRunner()
                && task.job().stepDone(occurrence, step)
                && !hasOtherRuns(task.job(), occurrence, step);
    }

    private void updateOwnReadiness(Task task) {
        if (isReady(task)) {
            readyTasks.add(task);
        } else {
            readyTasks.remove(task);
        }
    }

    private static boolean isReady(Task task) {
        Job job = task.job();
        if (task.done || job.terminalState != null || !task.runs.isEmpty()) {
            return false;
        }
        for (int step : task.step().dependencies()) {
            if (!job.stepDone(task.key().occurrence(), step)
                    || hasOtherRuns(job, task.key().occurrence(), step)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a task of a step that is done still has a run: its runner was lost and returned with the end of an
     * earlier run. A successor that finds that run active concludes that no earlier leader has started a later step ({@link
     * UnreportedRunners}).
     */
    private static boolean hasOtherRuns(Job job, int occurrence, int step) {
        for (Task task : job.occurrence(occurrence)[step]) {
            if (!task.runs.isEmpty() && task.step().endKnownToOneRunner()) {
                return true;
            }
        }
        return false;
    }

    /** Creates the tasks of all occurrences that have become due. */
    void createAllDueOccurrences(long nowEpochMs) {
        for (Job job : List.copyOf(recurringJobs)) {
            createDueOccurrences(job, nowEpochMs);
        }
    }

    ReadyTasks readyTasks() {
        return readyTasks;
    }

    /** Marks a job as having changes to store. */
    void markDirty(Job job) {
        if (!isolatedJobs.contains(job)) {
            dirtyJobs.add(job);
        }
    }

    /** Keeps a job from being dirty until its isolation ends, because the store rejects its progress. */
    void isolate(Job job) {
        isolatedJobs.add(job);
        dirtyJobs.remove(job);
        dirtyJobsWithEnds.remove(job);
    }

    /** Returns whether a job is isolated, so that the ends of its runs are stored one by one. */
    boolean isIsolated(String id) {
        Job job = jobs.get(id);
        return job != null && isolatedJobs.contains(job);
    }

    /** Ends the isolation of a job, whose changes are to be stored. Does nothing if it is not isolated. */
    public void endIsolation(Job job) {
        if (isolatedJobs.remove(job)) {
            dirtyJobs.add(job);
        }
    }

    /**
     * Returns a task of an open job of which a runner reports a run, or null if there is none with this key. Creates the
     * occurrences of an inherited job up to that of the task: an earlier leader, whose clock may be ahead of this one, found
     * them due, possibly several at once, and may have ended before it stored that.
     */
    Task findReportedTask(TaskKey key) {
        Job job = jobs.get(key.job());
        if (job != null
                && job.inherited()
                && job.terminalState == null
                && key.occurrence() < job.definition().occurrences()) {
            while (job.createdOccurrences() <= key.occurrence()) {
                createNextOccurrence(job);
            }
        }
        return findTask(key);
    }

    /** Returns the resources that a task takes, empty if its job is not open. */
    Optional<Resources> reservation(TaskKey key) {
        return Optional.ofNullable(findTask(key)).map(task -> task.step().reservation());
    }

    /** Returns a task of an open job, or null if there is none with this key. */
    Task findTask(TaskKey key) {
        Job job = jobs.get(key.job());
        return job == null ? null : job.find(key);
    }
}
