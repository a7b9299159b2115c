package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The jobs of a fleet: which of their tasks wait, what must be stored about them, and how they ended. */
public final class JobTracker {

    /** Stops the runs of tasks that are no longer needed. */
    interface RunStopper {
        void stopAll(Task task);
    }

    private final FleetObserver observer;
    private final RunStopper runStopper;
    private final PendingStarts pendingStarts;
    private final ReadyTasks readyTasks = new ReadyTasks();
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, JobState> terminalStates = new LinkedHashMap<>();
    private final Set<Job> recurringJobs = new LinkedHashSet<>();
    private final Set<Job> dirtyJobs = new LinkedHashSet<>();

    JobTracker(FleetObserver observer, PendingStarts pendingStarts, RunStopper runStopper) {
        this.observer = observer;
        this.pendingStarts = pendingStarts;
        this.runStopper = runStopper;
    }

    /**
     * Adds a job that was accepted. Does nothing if the job is known.
     *
     * @param progress what is stored about the job
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

    /** Takes note of the stored last state of a job. */
    public void addFinished(String id, JobState state) {
        terminalStates.put(id, state);
    }

    /** Forgets a job that was removed from the store. */
    public void removeFinished(String id) {
        terminalStates.remove(id);
    }

    /** Cancels a job; its runs are stopped. Does nothing if the job is unknown or has reached its last state. */
    public void cancel(String id) {
        Job job = jobs.get(id);
        if (job != null && job.terminalState == null) {
            finish(job, JobState.CANCELLED);
        }
    }

    /** Returns the state that callers are told; empty if the job is unknown. */
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

    /** Returns the number of accepted jobs of a queue of which no task has started. */
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

    /** Returns the number of jobs that have not reached their last state. */
    public int openJobCount() {
        return jobs.size();
    }

    /** Returns the number of tasks that wait for room. */
    public int readyTaskCount() {
        return readyTasks.size();
    }

    /** Returns the jobs of which something must be stored, and regards them as taken. */
    public List<Job> takeDirtyJobs() {
        List<Job> taken = List.copyOf(dirtyJobs);
        dirtyJobs.clear();
        return taken;
    }

    /** Returns whether something about a job must be stored. */
    public boolean hasDirtyJobs() {
        return !dirtyJobs.isEmpty();
    }

    /** Returns whether a job has reached its last state, or has a run that waits to be ordered, and that is not stored yet. */
    public boolean hasUrgentDirtyJobs() {
        for (Job job : dirtyJobs) {
            if (job.terminalState != null || !pendingStarts.unstored(job).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Puts jobs back whose progress could not be stored. */
    public void returnDirtyJobs(Collection<Job> notStored) {
        dirtyJobs.addAll(notStored);
    }

    /** Takes note that the last state of a job is stored. */
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

    /** Moves a task into or out of the waiting tasks. */
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

    /** Opens the occurrences of repeating jobs that have become due. */
    void createAllDueOccurrences(long nowEpochMs) {
        for (Job job : List.copyOf(recurringJobs)) {
            createDueOccurrences(job, nowEpochMs);
        }
    }

    /** Returns the tasks that wait for room. */
    ReadyTasks readyTasks() {
        return readyTasks;
    }

    /** Takes note that something about a job must be stored. */
    void markDirty(Job job) {
        dirtyJobs.add(job);
    }

    /** Returns the task of an open job, null if there is none. */
    Task findTask(TaskKey key) {
        Job job = jobs.get(key.job());
        return job == null ? null : job.find(key);
    }
}
