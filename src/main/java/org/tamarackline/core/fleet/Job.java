package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/** A job without a stored terminal state, with the tasks of its occurrences. */
public final class Job {

    private final JobDefinition definition;
    private final boolean inherited;
    private final long[] criticalPathsMs;
    private final long latencyObjectiveMs;
    private final int tasksPerOccurrence;
    private final int tasksPerChunk;
    private final List<Task[][]> occurrences = new ArrayList<>();
    private final BaselineHeadroomFilter[] baselineFilters;

    boolean started;
    JobState terminalState;
    /** When the leader learned of the terminal state, meaningful only if there is one. */
    long terminalNanos;

    int openTasks;
    /** Number of runs of the job's tasks that may still exist. */
    int activeRuns;

    /**
     * Creates a job without tasks.
     *
     * @param inherited whether an earlier leader may have started tasks of the job
     */
    Job(JobDefinition definition, boolean inherited) {
        this.definition = definition;
        this.inherited = inherited;
        this.criticalPathsMs = definition.criticalPathsMs();
        this.tasksPerOccurrence =
                definition.steps().stream().mapToInt(StepDefinition::count).sum();
        this.tasksPerChunk = ProgressLayout.tasksPerChunk(definition);
        this.baselineFilters = new BaselineHeadroomFilter[definition.steps().size()];
        long criticalPathMs = LongStream.of(criticalPathsMs).max().orElse(0);
        QueueDefinition queue = definition.queue();
        this.latencyObjectiveMs = queue.objectiveBaseMs() + (long) (queue.objectiveStretch() * criticalPathMs);
    }

    public JobDefinition definition() {
        return definition;
    }

    public String id() {
        return definition.id();
    }

    /** Returns the terminal state of the job, null while it is open. */
    public JobState terminalState() {
        return terminalState;
    }

    /** Returns the progress that must survive a change of leader. */
    public JobProgress progress() {
        return JobProgress.of(this);
    }

    /** Returns the number of chunks that the progress is stored in. */
    public int progressChunks() {
        int tasks = occurrences.size() * tasksPerOccurrence;
        return Math.max(1, (tasks + tasksPerChunk - 1) / tasksPerChunk);
    }

    /**
     * Returns the progress of the tasks of one chunk. Only chunk 0 tells how many occurrences were created.
     *
     * @param chunk position of the chunk, from 0
     */
    public JobProgress progressOfChunk(int chunk) {
        return JobProgress.of(chunk == 0 ? occurrences.size() : 0, tasksOfChunk(chunk));
    }

    /** Returns whether all tasks of a chunk are created and done, so that its progress no longer changes. */
    public boolean chunkFinal(int chunk) {
        List<Task> tasks = tasksOfChunk(chunk);
        return chunk > 0
                && tasks.size() == Math.min(tasksPerChunk, allTasks() - chunk * tasksPerChunk)
                && tasks.stream().allMatch(task -> task.done);
    }

    private int allTasks() {
        return definition.occurrences() * tasksPerOccurrence;
    }

    /** Returns the created tasks of a chunk. */
    private List<Task> tasksOfChunk(int chunk) {
        int first = chunk * tasksPerChunk;
        int end = Math.min(first + tasksPerChunk, occurrences.size() * tasksPerOccurrence);
        List<Task> tasks = new ArrayList<>();
        for (int position = first; position < end; position++) {
            tasks.add(taskAt(position));
        }
        return tasks;
    }

    /** Returns the task at a position among the tasks of all occurrences. */
    private Task taskAt(int position) {
        int index = position % tasksPerOccurrence;
        for (Task[] step : occurrences.get(position / tasksPerOccurrence)) {
            if (index < step.length) {
                return step[index];
            }
            index -= step.length;
        }
        throw new IllegalStateException("the steps of an occurrence have fewer tasks than the occurrence");
    }

    /** Returns the estimated duration of the critical path from a step to the end of the job, in milliseconds. */
    long criticalPathMs(int step) {
        return criticalPathsMs[step];
    }

    /** Returns the time within which an occurrence should end after it is due, in milliseconds. */
    long latencyObjectiveMs() {
        return latencyObjectiveMs;
    }

    boolean inherited() {
        return inherited;
    }

    /** Returns the number of occurrences whose tasks were created. */
    int createdOccurrences() {
        return occurrences.size();
    }

    /** Creates the tasks of the next occurrence. */
    void createOccurrence() {
        int occurrence = occurrences.size();
        Task[][] steps = new Task[definition.steps().size()][];
        for (int step = 0; step < steps.length; step++) {
            StepDefinition stepDefinition = definition.steps().get(step);
            steps[step] = new Task[stepDefinition.count()];
            for (int index = 0; index < steps[step].length; index++) {
                steps[step][index] =
                        new Task(this, new TaskKey(definition.id(), occurrence, step, index), stepDefinition);
            }
            openTasks += steps[step].length;
        }
        occurrences.add(steps);
    }

    Task[][] occurrence(int occurrence) {
        return occurrences.get(occurrence);
    }

    /** Returns the task with a key, or null if the job has none. */
    Task find(TaskKey key) {
        if (key.occurrence() < 0 || key.occurrence() >= occurrences.size()) {
            return null;
        }
        Task[][] steps = occurrences.get(key.occurrence());
        if (key.step() < 0 || key.step() >= steps.length) {
            return null;
        }
        Task[] tasks = steps[key.step()];
        return key.index() < 0 || key.index() >= tasks.length ? null : tasks[key.index()];
    }

    boolean stepDone(int occurrence, int step) {
        for (Task task : occurrences.get(occurrence)[step]) {
            if (!task.done) {
                return false;
            }
        }
        return true;
    }

    /** Returns all members of the gang of a task, or only the task if it is not in a gang. */
    Task[] gangOf(Task task) {
        TaskKey key = task.key();
        return task.step().gang() ? occurrences.get(key.occurrence())[key.step()] : new Task[] {task};
    }

    /** Returns the number of tasks of one occurrence. */
    int tasksPerOccurrence() {
        return tasksPerOccurrence;
    }

    /** Returns the number of tasks of created occurrences that are neither done nor running. */
    int unstartedTasks() {
        return Math.max(0, openTasks - activeRuns);
    }

    /** Returns the filter that tracks the baseline headroom of a latency-critical step. */
    BaselineHeadroomFilter baselineFilter(int step) {
        if (baselineFilters[step] == null) {
            baselineFilters[step] = new BaselineHeadroomFilter();
        }
        return baselineFilters[step];
    }

    /** Returns whether all tasks of all occurrences are done. */
    boolean allDone() {
        return openTasks == 0 && occurrences.size() == definition.occurrences();
    }
}
