package org.tamarackline.core.fleet;

/** Whether a job can still meet its latency objective. Within a priority, tasks start in the order of these values. */
enum Lateness {
    /** The job is estimated to meet its objective. */
    ON_TIME,
    /** The job will miss its objective, but its result is still useful. */
    LATE,
    /** The job is so late that its result is no longer useful. */
    EXPIRED;

    /** Multiple of the objective after which the result of a job is no longer useful. */
    private static final int EXPIRY_MULTIPLE = 3;

    static Lateness of(Task task, long nowEpochMs) {
        if (task.step().longRunning()) {
            return ON_TIME;
        }
        Job job = task.job();
        long estimatedLatencyMs = nowEpochMs
                - job.definition().dueEpochMs(task.key().occurrence())
                + job.criticalPathMs(task.key().step());
        if (estimatedLatencyMs <= job.latencyObjectiveMs()) {
            return ON_TIME;
        }
        return estimatedLatencyMs <= EXPIRY_MULTIPLE * job.latencyObjectiveMs() ? LATE : EXPIRED;
    }
}
