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
public final class JobBook {

    /** Stops the runs of tasks that are no longer needed. */
    interface Runs {
        void stopAll(Task task);
    }

    private final FleetObserver observer;
    private final Runs runs;
    private final Placements placements;
    private final ReadyTasks ready = new ReadyTasks();
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, JobState> finished = new LinkedHashMap<>();
    private final Set<Job> repeating = new LinkedHashSet<>();
    private final Set<Job> changed = new LinkedHashSet<>();

    JobBook(FleetObserver observer, Placements placements, Runs runs) {
        this.observer = observer;
        this.placements = placements;
        this.runs = runs;
    }

    /**
     * Adds a job that was accepted. Does nothing if the job is known.
     *
     * @param progress what is stored about the job
     * @param inherited whether an earlier leader may have started tasks of the job
     */
    public void add(JobDefinition definition, JobProgress progress, boolean inherited, long nowEpochMs) {
        if (jobs.containsKey(definition.id()) || finished.containsKey(definition.id())) {
            return;
        }
        Job job = new Job(definition, inherited);
        jobs.put(job.id(), job);
        progress.applyTo(job);
        if (definition.repeats() > 0) {
            repeating.add(job);
        }
        openDueOccurrences(job, nowEpochMs);
        for (int occurrence = 0; occurrence < job.openedOccurrences(); occurrence++) {
            refreshOccurrence(job, occurrence);
        }
        if (job.allDone()) {
            finish(job, JobState.COMPLETED);
        }
    }

    /** Takes note of the stored last state of a job. */
    public void addFinished(String id, JobState state) {
        finished.put(id, state);
    }

    /** Forgets a job that was removed from the store. */
    public void forget(String id) {
        finished.remove(id);
    }

    /** Cancels a job; its runs are stopped. Does nothing if the job is unknown or has reached its last state. */
    public void cancel(String id) {
        Job job = jobs.get(id);
        if (job != null && job.terminal == null) {
            finish(job, JobState.CANCELLED);
        }
    }

    /** Returns the state that callers are told; empty if the job is unknown. */
    public Optional<JobState> state(String id) {
        JobState last = finished.get(id);
        if (last != null) {
            return Optional.of(last);
        }
        Job job = jobs.get(id);
        if (job == null) {
            return Optional.empty();
        }
        if (job.terminal == JobState.CANCELLED) {
            return Optional.of(JobState.CANCELLED);
        }
        return Optional.of(job.started ? JobState.RUNNING : JobState.QUEUED);
    }

    /** Returns the number of accepted jobs of a queue of which no task has started. */
    public int pending(String queue) {
        int pending = 0;
        for (Job job : jobs.values()) {
            if (job.terminal == null
                    && !job.started
                    && job.definition().queue().name().equals(queue)) {
                pending++;
            }
        }
        return pending;
    }

    /** Returns the number of jobs that have not reached their last state. */
    public int openJobs() {
        return jobs.size();
    }

    /** Returns the number of tasks that wait for room. */
    public int waitingTasks() {
        return ready.size();
    }

    /** Returns the jobs of which something must be stored, and regards them as taken. */
    public List<Job> takeChanged() {
        List<Job> taken = List.copyOf(changed);
        changed.clear();
        return taken;
    }

    /** Returns whether something about a job must be stored. */
    public boolean hasChanges() {
        return !changed.isEmpty();
    }

    /** Returns whether a job has reached its last state, or has a run that waits to be ordered, and that is not stored yet. */
    public boolean hasUrgentChanges() {
        for (Job job : changed) {
            if (job.terminal != null || !placements.unstored(job).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Puts jobs back whose progress could not be stored. */
    public void returnChanged(Collection<Job> notStored) {
        changed.addAll(notStored);
    }

    /** Takes note that the last state of a job is stored. */
    public void stored(Job job) {
        if (job.terminal != null) {
            finished.put(job.id(), job.terminal);
            jobs.remove(job.id());
            repeating.remove(job);
        }
    }

    void finish(Job job, JobState state) {
        job.terminal = state;
        changed.add(job);
        for (int occurrence = 0; occurrence < job.openedOccurrences(); occurrence++) {
            for (Task[] step : job.occurrence(occurrence)) {
                for (Task task : step) {
                    ready.remove(task);
                    runs.stopAll(task);
                }
            }
        }
        observer.jobFinished(job);
    }

    private void openDueOccurrences(Job job, long nowEpochMs) {
        while (job.terminal == null
                && job.openedOccurrences() < job.definition().occurrences()
                && job.definition().isDue(job.openedOccurrences(), nowEpochMs)) {
            job.openOccurrence();
            if (job.definition().repeats() > 0) {
                changed.add(job);
            }
            refreshOccurrence(job, job.openedOccurrences() - 1);
        }
    }

    void refreshOccurrence(Job job, int occurrence) {
        for (Task[] step : job.occurrence(occurrence)) {
            for (Task task : step) {
                refresh(task);
            }
        }
    }

    /** Moves a task into or out of the waiting tasks. */
    void refresh(Task task) {
        if (mayStart(task)) {
            ready.add(task);
        } else {
            ready.remove(task);
        }
    }

    private static boolean mayStart(Task task) {
        Job job = task.job();
        if (task.done || job.terminal != null || !task.runs.isEmpty()) {
            return false;
        }
        for (int step : task.step().after()) {
            if (!job.stepDone(task.key().occurrence(), step)) {
                return false;
            }
        }
        return true;
    }

    /** Opens the occurrences of repeating jobs that have become due. */
    void openDue(long nowEpochMs) {
        for (Job job : List.copyOf(repeating)) {
            openDueOccurrences(job, nowEpochMs);
        }
    }

    /** Returns the tasks that wait for room. */
    ReadyTasks ready() {
        return ready;
    }

    /** Takes note that something about a job must be stored. */
    void noteChange(Job job) {
        changed.add(job);
    }

    /** Returns the task of an open job, null if there is none. */
    Task findTask(TaskKey key) {
        Job job = jobs.get(key.job());
        return job == null ? null : job.find(key);
    }
}
