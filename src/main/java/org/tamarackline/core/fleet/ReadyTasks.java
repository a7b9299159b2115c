package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.time.MonotonicClock;

/**
 * The ready tasks, whose dependencies are done and which wait for free resources, in the order in which they should
 * start.
 */
final class ReadyTasks {

    private static final Comparator<Task> TASK_ORDER = Comparator.<Task>comparingInt(
                    task -> task.job().definition().queue().priority())
            .thenComparingLong(ReadyTasks::objectiveEpochMs)
            .thenComparing(task -> task.key().job())
            .thenComparingInt(task -> task.key().occurrence())
            .thenComparingInt(task -> task.key().step())
            .thenComparingInt(task -> task.key().index());

    /** Groups that compare equal keep the order of their tasks, because the sort is stable. */
    private static final Comparator<StepGroup> GROUP_ORDER = Comparator.comparingInt(StepGroup::priority)
            .thenComparing(StepGroup::lateness)
            .thenComparingDouble(StepGroup::unstartedFraction);

    /**
     * Added to the number of tasks of a job, so that of two jobs with the same fraction of unstarted tasks the smaller
     * one comes first.
     */
    private static final double SIZE_OFFSET_TASKS = 7;

    private final TreeSet<Task> tasks = new TreeSet<>(TASK_ORDER);
    private final MonotonicClock clock;

    ReadyTasks(MonotonicClock clock) {
        this.clock = clock;
    }

    void add(Task task) {
        if (!task.ready) {
            task.ready = true;
            tasks.add(task);
        }
        if (!task.waiting) {
            task.waiting = true;
            task.waitingSinceNanos = clock.nowNanos();
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

    /** Returns the ready tasks, the most urgent priority first. */
    Collection<Task> all() {
        return Collections.unmodifiableCollection(tasks);
    }

    /**
     * Returns a scan over the ready tasks in the order in which they should start.
     *
     * <p>Within one priority, tasks whose job can still meet its objective come first, and tasks whose result is no
     * longer useful come last. Within one lateness, the job with the smallest fraction of unstarted tasks comes first.
     * Under overload, jobs that have begun then end on time, instead of all jobs sharing the resources and ending late.
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

    /** The ready tasks of one step of an occurrence, which are equally urgent. */
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

    /** A scan over ready tasks that skips the rest of a step once one of its tasks does not fit on any runner. */
    static final class Scan {

        /**
         * Identifies a step of an occurrence.
         *
         * @param job identifier of the job
         * @param occurrence occurrence of the job, from 0
         * @param step position of the step
         */
        private record StepKey(String job, int occurrence, int step) {}

        private final Iterator<Task> iterator;
        /**
         * Identifies best-effort tasks with the same requirements.
         *
         * @param service service that runs the tasks
         * @param image image that the tasks run
         * @param demand resources that each task needs
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

        /**
         * Skips the rest of the step of a task that did not fit on any runner, and all best-effort tasks with the same
         * requirements. The task must avoid no runner on which the others may fit.
         */
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

        /**
         * Returns whether the task fits on a runner exactly if any other best-effort task with the same requirements
         * fits there.
         */
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
