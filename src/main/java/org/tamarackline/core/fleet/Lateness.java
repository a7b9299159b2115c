package org.tamarackline.core.fleet;

/** Whether a job can still be on time, in the order in which tasks are served. */
enum Lateness {
    /** The estimates say that the job can meet its objective. */
    ON_TIME,
    /** The job will miss its objective and is still of use. */
    LATE,
    /** The job is so late that nobody waits for it. */
    EXPIRED;

    /** Multiple of the objective after which a job is of no use any more. */
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
