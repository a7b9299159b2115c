package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
    private final RunStopper runStopper;
    private final PendingStarts pendingStarts;
    private final ReadyTasks readyTasks;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, JobState> terminalStates = new LinkedHashMap<>();
    private final Set<Job> recurringJobs = new LinkedHashSet<>();
    private final Set<Job> dirtyJobs = new LinkedHashSet<>();

    JobTracker(FleetObserver observer, MonotonicClock clock, PendingStarts pendingStarts, RunStopper runStopper) {
        this.observer = observer;
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
        jobs.put(job.id(), job);
        progress.applyTo(job);
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

    /** Adds a job whose terminal state is already stored. */
    public void addFinished(String id, JobState state) {
        terminalStates.put(id, state);
    }

    /** Removes a finished job that was deleted from the store. */
    public void removeFinished(String id) {
        terminalStates.remove(id);
    }

    /** Cancels a job and stops its runs. Does nothing if the job is unknown or has a terminal state. */
    public void cancel(String id) {
        Job job = jobs.get(id);
        if (job != null && job.terminalState == null) {
            finish(job, JobState.CANCELLED);
        }
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

    /** Returns the dirty jobs and marks them as clean. */
    public List<Job> takeDirtyJobs() {
        List<Job> taken = List.copyOf(dirtyJobs);
        dirtyJobs.clear();
        return taken;
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

    /** Marks jobs as dirty again after their progress could not be stored. */
    public void returnDirtyJobs(Collection<Job> notStored) {
        dirtyJobs.addAll(notStored);
    }

    /** Records that the changes of a job are stored. A job with a terminal state is closed. */
    public void markStored(Job job) {
        if (job.terminalState != null) {
            terminalStates.put(job.id(), job.terminalState);
            jobs.remove(job.id());
            recurringJobs.remove(job);
        }
    }

    void finish(Job job, JobState state) {
        job.terminalState = state;
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
            job.createOccurrence();
            if (job.definition().scheduledOccurrences() > 0) {
                dirtyJobs.add(job);
            }
            updateReadinessOfOccurrence(job, job.createdOccurrences() - 1);
        }
    }

    void updateReadinessOfOccurrence(Job job, int occurrence) {
        for (Task[] step : job.occurrence(occurrence)) {
            for (Task task : step) {
                updateReadiness(task);
            }
        }
    }

    /** Adds a task to the ready tasks or removes it from them, depending on its state. */
    void updateReadiness(Task task) {
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
            if (!job.stepDone(task.key().occurrence(), step)) {
                return false;
            }
        }
        return true;
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
        dirtyJobs.add(job);
    }

    /** Returns a task of an open job, or null if there is none with this key. */
    Task findTask(TaskKey key) {
        Job job = jobs.get(key.job());
        return job == null ? null : job.find(key);
    }
}
