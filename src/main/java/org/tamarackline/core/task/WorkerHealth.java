package org.tamarackline.core.task;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.tamarackline.core.model.JobId;

/**
 * Quarantines a worker on which every task fails.
 *
 * <p>A failure counts only if it is the first of its job on the worker, or if the job runs on another worker, so that one
 * broken job does not quarantine healthy workers. A success resets the count. A quarantined worker gets one probe task at a
 * time, after a delay that doubles with each failure.
 */
final class WorkerHealth {

    private static final Duration FIRST_PROBE_DELAY = Duration.ofSeconds(10);
    private static final Duration MAX_PROBE_DELAY = Duration.ofMinutes(10);

    private final int threshold;
    private final Set<JobId> failedJobs = new HashSet<>();
    private int countedFailures;
    private boolean quarantined;
    private Duration probeDelay = FIRST_PROBE_DELAY;
    private long nextProbeNanos;

    WorkerHealth(int threshold) {
        this.threshold = threshold;
    }

    void recordSuccess() {
        failedJobs.clear();
        countedFailures = 0;
        quarantined = false;
        probeDelay = FIRST_PROBE_DELAY;
    }

    void recordFailure(JobId job, boolean jobRunsElsewhere, long nowNanos) {
        if (quarantined) {
            Duration doubled = probeDelay.multipliedBy(2);
            probeDelay = doubled.compareTo(MAX_PROBE_DELAY) > 0 ? MAX_PROBE_DELAY : doubled;
            nextProbeNanos = nowNanos + probeDelay.toNanos();
            return;
        }
        boolean newJob = failedJobs.add(job);
        if (newJob || jobRunsElsewhere) {
            countedFailures++;
        }
        if (countedFailures >= threshold) {
            quarantined = true;
            nextProbeNanos = nowNanos + probeDelay.toNanos();
        }
    }

    boolean isQuarantined() {
        return quarantined;
    }

    /** Returns whether a task may be placed now. While {@code startsPending}, a quarantined worker gets no further probe. */
    boolean acceptsTask(boolean startsPending, long nowNanos) {
        return !quarantined || (!startsPending && nowNanos >= nextProbeNanos);
    }
}
