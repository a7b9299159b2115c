package org.tamarackline.core.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The stored progress of an open job, or of some of its tasks. It must be stored before the runners may discard the ends
 * of its runs, and before its long-running tasks start.
 *
 * <p>It does not contain where other tasks run: the runners report that to a new leader.
 *
 * @param createdOccurrences number of occurrences whose tasks were created
 * @param tasks tasks that differ from a new one
 */
public record JobProgress(int createdOccurrences, List<TaskProgress> tasks) {

    /** The progress of a new job. */
    public static final JobProgress NONE = new JobProgress(0, List.of());

    /** Copies the lists. */
    public JobProgress {
        tasks = List.copyOf(tasks);
    }

    /**
     * Progress of one task.
     *
     * @param occurrence occurrence of the job, from 0
     * @param step position of the step
     * @param index position of the task in the step
     * @param done whether the task is done
     * @param failedRunNumbers numbers of the runs that failed, in ascending order
     * @param checkpoint checkpoint to resume from, empty to start from the beginning
     * @param runners runners on which a run of a long-running task may exist; empty for other tasks
     */
    public record TaskProgress(
            int occurrence,
            int step,
            int index,
            boolean done,
            List<Long> failedRunNumbers,
            String checkpoint,
            List<String> runners) {

        /** Copies the lists. */
        public TaskProgress {
            failedRunNumbers = List.copyOf(failedRunNumbers);
            runners = List.copyOf(runners);
        }

        private TaskProgress updatedBy(TaskProgress later) {
            SortedSet<Long> failed = new TreeSet<>(failedRunNumbers);
            failed.addAll(later.failedRunNumbers);
            return new TaskProgress(
                    occurrence, step, index, done || later.done, List.copyOf(failed), later.checkpoint, later.runners);
        }
    }

    static JobProgress of(Job job) {
        List<Task> tasks = new ArrayList<>();
        for (int occurrence = 0; occurrence < job.createdOccurrences(); occurrence++) {
            for (Task[] step : job.occurrence(occurrence)) {
                tasks.addAll(List.of(step));
            }
        }
        return of(job.createdOccurrences(), tasks);
    }

    static JobProgress of(int createdOccurrences, List<Task> tasks) {
        List<TaskProgress> changed = new ArrayList<>();
        tasks.forEach(task -> addIfChanged(task, changed));
        return new JobProgress(createdOccurrences, changed);
    }

    /**
     * Joins the progress of several groups of tasks. Of a task in several of them, the last one counts, but each that
     * says that the task is done, and all failed runs.
     */
    public static JobProgress join(Collection<JobProgress> parts) {
        int createdOccurrences = 0;
        Map<Position, TaskProgress> tasks = new LinkedHashMap<>();
        for (JobProgress part : parts) {
            createdOccurrences = Math.max(createdOccurrences, part.createdOccurrences());
            for (TaskProgress task : part.tasks()) {
                createdOccurrences = Math.max(createdOccurrences, task.occurrence() + 1);
                Position position = new Position(task.occurrence(), task.step(), task.index());
                tasks.merge(position, task, TaskProgress::updatedBy);
            }
        }
        return new JobProgress(createdOccurrences, List.copyOf(tasks.values()));
    }

    private record Position(int occurrence, int step, int index) {}

    private static void addIfChanged(Task task, List<TaskProgress> tasks) {
        String checkpoint = task.done || !task.runs.isEmpty() ? "" : storable(task.checkpoint);
        Set<String> runners = possibleRunners(task);
        if (task.done || !task.failedRunNumbers.isEmpty() || !checkpoint.isEmpty() || !runners.isEmpty()) {
            TaskKey key = task.key();
            tasks.add(new TaskProgress(
                    key.occurrence(),
                    key.step(),
                    key.index(),
                    task.done,
                    List.copyOf(task.failedRunNumbers),
                    checkpoint,
                    List.copyOf(runners)));
        }
    }

    /** Returns a checkpoint if it is short enough to be stored, otherwise an empty one. */
    public static String storable(String checkpoint) {
        boolean fits = checkpoint.getBytes(StandardCharsets.UTF_8).length <= ProgressLayout.MAX_CHECKPOINT_BYTES;
        return fits ? checkpoint : "";
    }

    /** Returns the runners on which a run of a long-running task may exist; empty for other tasks. */
    private static Set<String> possibleRunners(Task task) {
        Set<String> runners = new TreeSet<>();
        if (task.step().longRunning()) {
            runners.addAll(task.inheritedRunners);
            task.runs.forEach(run -> runners.add(run.runner().id()));
        }
        return runners;
    }

    /**
     * Checks that each task exists in a job, because the progress of another task cannot be told from it.
     *
     * @throws IllegalArgumentException if a task does not exist
     */
    public void checkTasksOf(JobDefinition job) {
        int occurrences = Math.min(createdOccurrences, job.occurrences());
        for (TaskProgress task : tasks) {
            boolean exists = task.occurrence() >= 0
                    && task.occurrence() < occurrences
                    && task.step() >= 0
                    && task.step() < job.steps().size()
                    && task.index() >= 0
                    && task.index() < job.steps().get(task.step()).count();
            if (!exists) {
                throw new IllegalArgumentException("the progress names task %d.%d.%d, which the job does not have"
                        .formatted(task.occurrence(), task.step(), task.index()));
            }
        }
    }

    void applyTo(Job job) {
        int occurrences = Math.min(createdOccurrences, job.definition().occurrences());
        while (job.createdOccurrences() < occurrences) {
            job.createOccurrence();
        }
        for (TaskProgress progress : tasks) {
            Task task = job.find(new TaskKey(job.id(), progress.occurrence(), progress.step(), progress.index()));
            if (task == null) {
                continue;
            }
            if (progress.done() && !task.done) {
                task.done = true;
                job.openTasks--;
            }
            task.failedRunNumbers.addAll(progress.failedRunNumbers());
            task.checkpoint = progress.checkpoint();
            task.inheritedRunners.addAll(progress.runners());
            job.started |= progress.done()
                    || !progress.failedRunNumbers().isEmpty()
                    || !progress.checkpoint().isEmpty();
        }
    }
}
