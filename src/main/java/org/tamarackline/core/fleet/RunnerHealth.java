package org.tamarackline.core.fleet;

/**
 * Detects unhealthy runners from the ends of their tasks.
 *
 * <p>A runner may report itself as ready and yet fail or stall every task. After failures of two different jobs in a
 * row it is avoided for a time that doubles with each further failure, and is then on probation with a single task.
 */
final class RunnerHealth {

    /** Consecutive failures of different jobs after which a runner is avoided; a single one may be the job's fault. */
    private static final int FAILURES_BEFORE_AVOIDANCE = 2;

    private static final long INITIAL_BACKOFF_NANOS = 1_500_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    /** Weight of the newest task in the moving average of the slowdown. */
    private static final double SLOWDOWN_WEIGHT = 0.3;

    private static final double MAX_SLOWDOWN = 10;

    /**
     * Minimum time between a refused start and the next one, in nanoseconds; about the interval between two statuses.
     */
    private static final long REFUSAL_COOLDOWN_NANOS = 400_000_000L;

    /**
     * Minimum time between a start that was not sent because the runner answered late and the next one, in nanoseconds.
     * It is longer than the 0.9 s in which another runner answers or does not, so that a task is not placed on several
     * late runners in turn, and doubles once. The leader itself may have been late, so it is short.
     */
    private static final long LATE_ANSWER_COOLDOWN_NANOS = 1_000_000_000L;

    private static final int MAX_LATE_ANSWER_DOUBLINGS = 1;

    private int consecutiveLateAnswers;
    private boolean refusedStart;
    private long refusedUntilNanos;
    private String lastFailedJob = "";
    private int consecutiveFailures;
    private long avoidUntilNanos;
    private boolean onProbation;
    private double slowdown = 1;

    /** Records a failure that is not known to be the job's own fault. */
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

    /** Records a task that made no progress. */
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

    /** Records that the runner refused a start; it gets no starts for {@link #REFUSAL_COOLDOWN_NANOS}. */
    void recordRefusal(long nowNanos) {
        refusedUntilNanos = nowNanos + REFUSAL_COOLDOWN_NANOS;
        refusedStart = true;
    }

    /** Records that the runner answered too late for a start to be sent; it gets no starts for some time. */
    void recordLateAnswer(long nowNanos) {
        refusedUntilNanos =
                nowNanos + (LATE_ANSWER_COOLDOWN_NANOS << Math.min(consecutiveLateAnswers, MAX_LATE_ANSWER_DOUBLINGS));
        refusedStart = true;
        consecutiveLateAnswers++;
    }

    /** Records that the runner has started a run. */
    void recordStart() {
        consecutiveLateAnswers = 0;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        lastFailedJob = "";
        onProbation = false;
    }

    boolean isAvoided(long nowNanos) {
        return (onProbation && avoidUntilNanos - nowNanos > 0) || (refusedStart && refusedUntilNanos - nowNanos > 0);
    }

    /** Returns whether the runner may only get a single task. */
    boolean onProbation() {
        return onProbation;
    }

    /**
     * Updates the slowdown by a finished task.
     *
     * @param relativeDuration duration divided by the estimate of its step
     */
    void recordDuration(double relativeDuration) {
        double clamped = Math.min(MAX_SLOWDOWN, relativeDuration);
        slowdown += SLOWDOWN_WEIGHT * (clamped - slowdown);
    }

    /** Returns the average ratio of actual to estimated task durations; about 1 for a healthy runner. */
    double slowdown() {
        return slowdown;
    }
}
