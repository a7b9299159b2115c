package org.tamarackline.core.fleet;

/**
 * What the ends of a runner's tasks say about it.
 *
 * <p>A runner may report itself as ready and yet fail or stall all it starts. After failures of two jobs in a row it is
 * avoided for a time that doubles with each further failure, and is then tried with one task.
 */
final class RunnerHealth {

    /** Failures of different jobs in a row after which a runner is avoided; a single one may be the job's fault. */
    private static final int FAILURES_BEFORE_AVOIDANCE = 2;

    private static final long INITIAL_BACKOFF_NANOS = 1_500_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    /** Weight of the newest task in the running mean of relative durations. */
    private static final double SLOWDOWN_WEIGHT = 0.3;

    private static final double MAX_SLOWDOWN = 10;

    /** Pause after a rejected start, in nanoseconds; a listing arrives about once in that time. */
    private static final long REFUSAL_COOLDOWN_NANOS = 400_000_000L;

    private boolean refusedStart;
    private long refusedUntilNanos;
    private String lastFailedJob = "";
    private int consecutiveFailures;
    private long avoidUntilNanos;
    private boolean onProbation;
    private double slowdown = 1;

    /** Takes note of a failure that is not known to be the job's own fault. */
    void recordFailure(String job, long nowNanos) {
        if (job.equals(lastFailedJob) && !onProbation) {
            return;
        }
        lastFailedJob = job;
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_AVOIDANCE) {
            avoid(nowNanos);
        }
    }

    /** Takes note of a task that made no progress. */
    void recordStall(long nowNanos) {
        consecutiveFailures = Math.max(consecutiveFailures + 1, FAILURES_BEFORE_AVOIDANCE);
        avoid(nowNanos);
    }

    private void avoid(long nowNanos) {
        onProbation = true;
        avoidUntilNanos = nowNanos
                + (INITIAL_BACKOFF_NANOS
                        << Math.min(consecutiveFailures - FAILURES_BEFORE_AVOIDANCE, MAX_BACKOFF_DOUBLINGS));
    }

    /** Takes note that the runner rejected a start; it gets no further one for a moment. */
    void recordRefusal(long nowNanos) {
        refusedUntilNanos = nowNanos + REFUSAL_COOLDOWN_NANOS;
        refusedStart = true;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        lastFailedJob = "";
        onProbation = false;
    }

    boolean isAvoided(long nowNanos) {
        return (onProbation && avoidUntilNanos - nowNanos > 0) || (refusedStart && refusedUntilNanos - nowNanos > 0);
    }

    /** Returns whether only a single task may be tried on the runner. */
    boolean onProbation() {
        return onProbation;
    }

    /** Takes note of how long a task took, relative to others of its step. */
    void recordDuration(double relativeDuration) {
        double clamped = Math.min(MAX_SLOWDOWN, relativeDuration);
        slowdown += SLOWDOWN_WEIGHT * (clamped - slowdown);
    }

    /** Returns how many times as long as elsewhere tasks take; about 1 for a sound runner. */
    double slowdown() {
        return slowdown;
    }
}
