package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.StepDefinition;
import org.tamarackline.core.model.Resources;

/** Draws the jobs of a {@link ClusterSimulation}. */
final class SimulatedJobs {

    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_LONG_RUNNING_JOBS = 5;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long EPOCH_MS = 1_700_000_000_000L;

    /** Queue of a service with most of the runners. */
    static final QueueDefinition QUEUE =
            new QueueDefinition("queue", "host", "/q/", "dispatch", 0, MAX_ATTEMPTS, 2, 1_000, false);

    /** Queue of a service with few runners. */
    static final QueueDefinition SMALL_QUEUE =
            new QueueDefinition("small", "host", "/s/", "small-service", 0, MAX_ATTEMPTS, 2, 1_000, false);

    /** Label of every third runner. */
    static final String LABEL = "b";

    /** Time between two occurrences of a scheduled job. */
    private static final Duration OCCURRENCE_INTERVAL = Duration.ofMillis(1_500);

    /** Number of tasks of a job whose progress takes several records. */
    private static final int WIDE_JOB_TASKS = 300;

    static final Duration WIDE_JOB_TASK_DURATION = Duration.ofMillis(50);

    private final ManualLoop loop;
    private final Random random;
    private int jobs;
    private int longRunningJobs;

    SimulatedJobs(ManualLoop loop, Random random) {
        this.loop = loop;
        this.random = random;
    }

    /** Returns whether the tasks of a job are long-running. */
    static boolean isLongRunning(JobDefinition job) {
        return job.steps().getFirst().longRunning();
    }

    /** Returns whether a step is that of a job whose progress takes several records. */
    static boolean isWide(StepDefinition step) {
        return step.count() == WIDE_JOB_TASKS;
    }

    /** Creates a job of a random kind. */
    JobDefinition nextJob() {
        return switch (random.nextInt(20)) {
            case 0 -> longRunningJobs < MAX_LONG_RUNNING_JOBS ? longRunningJob() : twoStepJob();
            case 1, 2 -> gangJob();
            case 3 -> job(List.of(step(new Shape(1 + random.nextInt(3), 1_000, LABEL, random.nextInt(3)))));
            case 4 -> job(SMALL_QUEUE, List.of(step(new Shape(1 + random.nextInt(3), 1_000, "", 0))), 0);
            case 5 -> job(QUEUE, twoSteps(), 2 + random.nextInt(3));
            case 6 -> random.nextInt(4) == 0 ? wideJob() : twoStepJob();
            default -> twoStepJob();
        };
    }

    private JobDefinition gangJob() {
        return job(List.of(
                step(1, 1_000, List.of(), false),
                step(new Shape(2 + random.nextInt(3), 1_000, "", 0).asGangAfter(0)),
                step(1, 1_000, List.of(1), false)));
    }

    private JobDefinition wideJob() {
        return job(List.of(step(WIDE_JOB_TASKS, WIDE_JOB_TASK_DURATION.toMillis(), List.of(), false)));
    }

    /** Creates a job of two long-running tasks. */
    JobDefinition longRunningJob() {
        longRunningJobs++;
        return job(List.of(step(2, 0, List.of(), true)));
    }

    private JobDefinition twoStepJob() {
        return job(twoSteps());
    }

    private List<StepDefinition> twoSteps() {
        return List.of(
                step(1 + random.nextInt(3), 1_000, List.of(), false),
                step(1 + random.nextInt(2), 1_000, List.of(0), false));
    }

    private JobDefinition job(List<StepDefinition> steps) {
        return job(QUEUE, steps, 0);
    }

    private JobDefinition job(QueueDefinition queue, List<StepDefinition> steps, int scheduledOccurrences) {
        String id = "job%03d".formatted(jobs++);
        long nowEpochMs = EPOCH_MS + loop.nowNanos() / NANOS_PER_MS;
        return new JobDefinition(
                id, queue, "", steps, scheduledOccurrences, nowEpochMs, OCCURRENCE_INTERVAL.toMillis(), nowEpochMs);
    }

    private static StepDefinition step(int count, long estimateMs, List<Integer> dependencies, boolean longRunning) {
        return step(new Shape(count, estimateMs, dependencies, longRunning, false, "", 0));
    }

    /** The properties of a step that the jobs differ in. */
    private record Shape(
            int count,
            long estimateMs,
            List<Integer> dependencies,
            boolean longRunning,
            boolean gang,
            String label,
            int maxPerRunner) {

        Shape(int count, long estimateMs, String label, int maxPerRunner) {
            this(count, estimateMs, List.of(), false, false, label, maxPerRunner);
        }

        Shape asGangAfter(int step) {
            return new Shape(count, estimateMs, List.of(step), longRunning, true, label, maxPerRunner);
        }
    }

    private static StepDefinition step(Shape shape) {
        Resources demand = new Resources(1_000, 100, 0);
        return new StepDefinition(
                shape.count(),
                demand,
                shape.estimateMs(),
                shape.dependencies(),
                false,
                shape.gang(),
                false,
                shape.label(),
                "",
                shape.maxPerRunner(),
                false,
                shape.longRunning(),
                "",
                0,
                false,
                0);
    }
}
