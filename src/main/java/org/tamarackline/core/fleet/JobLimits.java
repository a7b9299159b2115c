package org.tamarackline.core.fleet;

/** Limits on jobs. A job beyond them is refused when it is submitted, and skipped if the store has one. */
public final class JobLimits {

    public static final int MAX_STEPS = 100;
    /** Maximum number of tasks of one occurrence. */
    public static final int MAX_TASKS = 5_000;

    public static final int MAX_SCHEDULED_OCCURRENCES = 10_000;

    /** Maximum number of tasks of all occurrences, which a leader keeps in memory until the job ends. */
    public static final int MAX_TASKS_OF_ALL_OCCURRENCES = 100_000;

    /** Bounds on times in milliseconds, such that the due time of the last occurrence does not overflow. */
    public static final long MAX_FIRST_DUE_EPOCH_MS = 1_000_000_000_000_000L;

    public static final long MAX_INTERVAL_MS = 10_000_000_000_000L;

    private JobLimits() {}

    /**
     * Checks a job that was read from the store.
     *
     * @throws IllegalArgumentException if a field is out of range
     */
    public static void check(JobDefinition job) {
        check(job.steps().size(), 1, MAX_STEPS, "number of steps");
        check(job.scheduledOccurrences(), 0, MAX_SCHEDULED_OCCURRENCES, "number of occurrences");
        check(job.firstDueEpochMs(), 0, MAX_FIRST_DUE_EPOCH_MS, "first due time");
        check(job.intervalMs(), 0, MAX_INTERVAL_MS, "interval");
        check(job.queue().maxAttempts(), 1, Integer.MAX_VALUE, "number of attempts");
        check(job.queue().objectiveBaseMs(), 0, MAX_INTERVAL_MS, "latency objective");
        // Also false for a value that is not a number.
        if (!(job.queue().objectiveStretch() >= 0 && job.queue().objectiveStretch() <= Integer.MAX_VALUE)) {
            throw new IllegalArgumentException("stretch of the latency objective is out of range");
        }
        long tasks = 0;
        for (int step = 0; step < job.steps().size(); step++) {
            checkStep(job.steps().get(step), step);
            tasks += job.steps().get(step).count();
        }
        check(tasks, 1, MAX_TASKS, "number of tasks");
        check(tasks * job.occurrences(), 1, MAX_TASKS_OF_ALL_OCCURRENCES, "number of tasks of all occurrences");
    }

    private static void checkStep(StepDefinition step, int position) {
        check(step.count(), 1, MAX_TASKS, "number of tasks");
        check(step.demand().processorMillis(), 0, Integer.MAX_VALUE, "processor time");
        check(step.demand().memoryMb(), 0, Integer.MAX_VALUE, "memory");
        check(step.demand().accelerators(), 0, Integer.MAX_VALUE, "number of accelerators");
        check(step.estimatedDurationMs(), 0, Integer.MAX_VALUE, "estimated duration");
        check(step.maxPerRunner(), 0, Integer.MAX_VALUE, "number of tasks of a runner");
        check(step.latencyTargetMs(), 0, Integer.MAX_VALUE, "latency target");
        check(step.maxUnavailable(), 0, Integer.MAX_VALUE, "number of unavailable tasks");
        check(step.dependencies().size(), 0, MAX_STEPS, "number of dependencies");
        for (int dependency : step.dependencies()) {
            check(dependency, 0, position - 1L, "dependency");
        }
    }

    private static void check(long value, long min, long max, String field) {
        if (value < min || value > max) {
            throw new IllegalArgumentException("%s is %d, not from %d to %d".formatted(field, value, min, max));
        }
    }
}
