package org.tamarackline.core.fleet;

/**
 * What the ends of a runner's tasks say about it.
 *
 * <p>A runner may report itself as ready and yet fail or stall all it starts. After failures of two jobs in a row it is
 * avoided for a time that doubles with each further failure, and is then tried with one task.
 */
final class RunnerHealth {

    /** Failures of different jobs in a row after which a runner is avoided; a single one may be the job's fault. */
    private static final int FAILING_JOBS = 2;

    private static final long FIRST_AVOIDANCE_NANOS = 1_500_000_000L;
    private static final int MAX_DOUBLINGS = 2;
    /** Weight of the newest task in the running mean of relative durations. */
    private static final double SLOWNESS_WEIGHT = 0.3;

    private static final double MAX_SLOWNESS = 10;

    /** Pause after a rejected start, in nanoseconds; a listing arrives about once in that time. */
    private static final long REFUSAL_PAUSE_NANOS = 400_000_000L;

    private boolean refusing;
    private long refusedUntilNanos;
    private String lastFailedJob = "";
    private int failures;
    private long avoidUntilNanos;
    private boolean onTrial;
    private double slowness = 1;

    /** Takes note of a failure that is not known to be the job's own fault. */
    void failed(String job, long nowNanos) {
        if (job.equals(lastFailedJob) && !onTrial) {
            return;
        }
        lastFailedJob = job;
        failures++;
        if (failures >= FAILING_JOBS) {
            avoid(nowNanos);
        }
    }

    /** Takes note of a task that made no progress. */
    void stalled(long nowNanos) {
        failures = Math.max(failures + 1, FAILING_JOBS);
        avoid(nowNanos);
    }

    private void avoid(long nowNanos) {
        onTrial = true;
        avoidUntilNanos = nowNanos + (FIRST_AVOIDANCE_NANOS << Math.min(failures - FAILING_JOBS, MAX_DOUBLINGS));
    }

    /** Takes note that the runner rejected a start; it gets no further one for a moment. */
    void refused(long nowNanos) {
        refusedUntilNanos = nowNanos + REFUSAL_PAUSE_NANOS;
        refusing = true;
    }

    void succeeded() {
        failures = 0;
        lastFailedJob = "";
        onTrial = false;
    }

    boolean avoided(long nowNanos) {
        return (onTrial && avoidUntilNanos - nowNanos > 0) || (refusing && refusedUntilNanos - nowNanos > 0);
    }

    /** Returns whether only a single task may be tried on the runner. */
    boolean onTrial() {
        return onTrial;
    }

    /** Takes note of how long a task took, relative to others of its step. */
    void took(double relativeDuration) {
        double bounded = Math.min(MAX_SLOWNESS, relativeDuration);
        slowness += SLOWNESS_WEIGHT * (bounded - slowness);
    }

    /** Returns how many times as long as elsewhere tasks take; about 1 for a sound runner. */
    double slowness() {
        return slowness;
    }
}
