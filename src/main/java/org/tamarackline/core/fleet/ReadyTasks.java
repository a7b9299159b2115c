package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.tamarackline.core.model.Resources;

/** The tasks that wait for room, the most urgent first. */
final class ReadyTasks {

    private static final Comparator<Task> TASK_ORDER = Comparator.<Task>comparingInt(
                    task -> task.job().definition().queue().priority())
            .thenComparingLong(ReadyTasks::objectiveEpochMs)
            .thenComparing(task -> task.key().job())
            .thenComparingInt(task -> task.key().occurrence())
            .thenComparingInt(task -> task.key().step())
            .thenComparingInt(task -> task.key().index());

    /** Equal groups stay in the order of their tasks. */
    private static final Comparator<StepGroup> GROUP_ORDER = Comparator.comparingInt(StepGroup::priority)
            .thenComparing(StepGroup::lateness)
            .thenComparingDouble(StepGroup::unstartedFraction);

    /** Added to the size of a job, in tasks, so that of jobs that are equally far the smaller one comes first. */
    private static final double SIZE_OFFSET_TASKS = 7;

    private final TreeSet<Task> tasks = new TreeSet<>(TASK_ORDER);

    void add(Task task) {
        if (!task.ready) {
            task.ready = true;
            tasks.add(task);
        }
    }

    void remove(Task task) {
        if (task.ready) {
            task.ready = false;
            tasks.remove(task);
        }
    }

    int size() {
        return tasks.size();
    }

    int count(Predicate<Task> condition) {
        return (int) tasks.stream().filter(condition).count();
    }

    /**
     * Returns a walk over the tasks that wait now. Of one priority, those whose job can still meet its objective come
     * first, and those that nobody waits for any more last. Of one lateness, the job with the smallest share of its tasks
     * left to start comes first, so that begun jobs end on time instead of all sharing the room and ending late.
     */
    Scan scan(long nowEpochMs) {
        List<StepGroup> groups = new ArrayList<>();
        StepGroup last = null;
        for (Task task : tasks) {
            if (last == null || !last.contains(task)) {
                last = new StepGroup(task, nowEpochMs);
                groups.add(last);
            }
            last.tasks.add(task);
        }
        groups.sort(GROUP_ORDER);
        List<Task> ordered = new ArrayList<>(tasks.size());
        groups.forEach(group -> ordered.addAll(group.tasks));
        return new Scan(ordered);
    }

    private static long objectiveEpochMs(Task task) {
        Job job = task.job();
        return job.definition().dueEpochMs(task.key().occurrence()) + job.latencyObjectiveMs();
    }

    /** The waiting tasks of one step of an occurrence, which are equally urgent. */
    private static final class StepGroup {

        private final Task first;
        private final Lateness lateness;
        private final double unstartedFraction;
        private final List<Task> tasks = new ArrayList<>();

        StepGroup(Task first, long nowEpochMs) {
            this.first = first;
            this.lateness = Lateness.of(first, nowEpochMs);
            this.unstartedFraction = first.job().unstartedTasks()
                    / (SIZE_OFFSET_TASKS + first.job().tasksPerOccurrence());
        }

        boolean contains(Task task) {
            return task.job() == first.job()
                    && task.key().occurrence() == first.key().occurrence()
                    && task.key().step() == first.key().step();
        }

        int priority() {
            return first.job().definition().queue().priority();
        }

        Lateness lateness() {
            return lateness;
        }

        double unstartedFraction() {
            return unstartedFraction;
        }
    }

    /** A walk over waiting tasks that passes over the rest of a step once one of its tasks finds no room. */
    static final class Scan {

        /**
         * Identifies a step of an occurrence.
         *
         * @param job identifier of the job
         * @param occurrence repetition of the job
         * @param step position of the step
         */
        private record StepKey(String job, int occurrence, int step) {}

        private final Iterator<Task> iterator;
        /**
         * What filling tasks with the same needs have in common.
         *
         * @param service service that runs the tasks
         * @param image what the tasks run
         * @param demand what each task needs
         */
        private record BestEffortKey(String service, String image, Resources demand) {}

        private final Set<StepKey> skipped = new HashSet<>();
        private final Set<BestEffortKey> skippedBestEffort = new HashSet<>();
        private Task next;

        private Scan(List<Task> tasks) {
            this.iterator = tasks.iterator();
        }

        boolean hasNext() {
            while (next == null && iterator.hasNext()) {
                Task candidate = iterator.next();
                if (candidate.ready && !isSkipped(candidate)) {
                    next = candidate;
                }
            }
            return next != null;
        }

        Task next() {
            Task task = next;
            next = null;
            return task;
        }

        /** Passes over the rest of a step of which a task found no room, and over filling tasks with the same needs. */
        void skipStep(Task task) {
            skipped.add(stepKey(task));
            if (isInterchangeable(task)) {
                skippedBestEffort.add(bestEffortKey(task));
            }
        }

        private boolean isSkipped(Task task) {
            return skipped.contains(stepKey(task))
                    || (isInterchangeable(task) && skippedBestEffort.contains(bestEffortKey(task)));
        }

        /** Returns whether the task finds room exactly where any other filling task with the same needs would. */
        private static boolean isInterchangeable(Task task) {
            StepDefinition step = task.step();
            return step.bestEffort()
                    && step.requiredLabel().isEmpty()
                    && step.preferredRack().isEmpty()
                    && step.maxPerRunner() == 0
                    && task.avoidedRunners.isEmpty()
                    && task.job().activeRuns > 0;
        }

        private static BestEffortKey bestEffortKey(Task task) {
            String service = task.job().definition().queue().service();
            return new BestEffortKey(service, task.step().image(), task.step().demand());
        }

        private static StepKey stepKey(Task task) {
            TaskKey key = task.key();
            return new StepKey(key.job(), key.occurrence(), key.step());
        }
    }
}
