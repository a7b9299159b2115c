package org.tamarackline.core.fleet;

/**
 * Divides the tasks of a job into chunks, the progress of each of which is stored in a record of its own.
 *
 * <p>A chunk has so few tasks that its record stays within {@link #MAX_RECORD_BYTES} whatever their progress is. A job
 * whose tasks all fit into one chunk takes one record.
 */
public final class ProgressLayout {

    /** Largest size of an encoded chunk in bytes. */
    public static final int MAX_RECORD_BYTES = 48_000;

    /**
     * Largest size of a stored checkpoint in bytes of UTF-8. A longer one is not stored: the task resumes from it only
     * while the leader that knows it leads, or while its runner reports it.
     */
    public static final int MAX_CHECKPOINT_BYTES = 500;

    /** Maximum number of tasks of a chunk, which bounds what a transaction rewrites when one of them changes. */
    private static final int MAX_TASKS_PER_CHUNK = 256;

    /** Size of the fields before the tasks. */
    private static final int HEADER_BYTES = 64;

    /** Size of a task's position and of the headers of its lists. */
    private static final int POSITION_BYTES = 32;

    private static final int RUN_NUMBER_BYTES = 9;

    /** Maximum size of the identifier of a runner; keys of the store are not longer. */
    private static final int RUNNER_ID_BYTES = 203;

    /** Number of runners on which a run of a long-running task may exist, at most. */
    private static final int POSSIBLE_RUNNERS = 4;

    private ProgressLayout() {}

    /** Returns the number of tasks of a chunk. */
    static int tasksPerChunk(JobDefinition job) {
        long fitting = (MAX_RECORD_BYTES - HEADER_BYTES) / maxTaskBytes(job);
        return Math.clamp(fitting, 1, MAX_TASKS_PER_CHUNK);
    }

    /**
     * Checks that the progress of a job can be stored until the job ends.
     *
     * @throws IllegalArgumentException if the progress of a single task may exceed a record
     */
    public static void check(JobDefinition job) {
        long taskBytes = maxTaskBytes(job);
        if (HEADER_BYTES + taskBytes > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException(
                    "the failures of a task with %d attempts take up to %d bytes, more than the maximum of %d; allow fewer"
                            .formatted(job.queue().maxAttempts(), taskBytes, MAX_RECORD_BYTES));
        }
    }

    private static long maxTaskBytes(JobDefinition job) {
        long taskBytes = POSITION_BYTES;
        for (StepDefinition step : job.steps()) {
            taskBytes = Math.max(taskBytes, maxTaskBytes(step, job.queue().maxAttempts()));
        }
        return taskBytes;
    }

    private static long maxTaskBytes(StepDefinition step, int maxAttempts) {
        long bytes = POSITION_BYTES;
        if (step.checkpointed()) {
            bytes += MAX_CHECKPOINT_BYTES;
        }
        if (step.longRunning()) {
            return bytes + (long) POSSIBLE_RUNNERS * RUNNER_ID_BYTES;
        }
        return bytes + (long) maxAttempts * RUN_NUMBER_BYTES;
    }
}
