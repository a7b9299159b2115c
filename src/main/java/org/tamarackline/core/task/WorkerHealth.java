package org.tamarackline.core.task;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.tamarackline.core.model.JobId;

/**
 * Keeps work away from a worker that fails everything it starts.
 *
 * <p>Only failures of different jobs count, and those of jobs that run elsewhere, so that one broken job does not take
 * healthy workers out of use. A quarantined worker gets one probe task at a time, after a delay that doubles with each
 * failure.
 */
final class WorkerHealth {

    private static final Duration FIRST_PROBE_DELAY = Duration.ofSeconds(10);
    private static final Duration LONGEST_PROBE_DELAY = Duration.ofMinutes(10);

    private final int threshold;
    private final Set<JobId> failedJobs = new HashSet<>();
    private int evidence;
    private boolean quarantined;
    private Duration probeDelay = FIRST_PROBE_DELAY;
    private long probeAtNanos;

    WorkerHealth(int threshold) {
        this.threshold = threshold;
    }

    void succeeded() {
        failedJobs.clear();
        evidence = 0;
        quarantined = false;
        probeDelay = FIRST_PROBE_DELAY;
    }

    void failed(JobId job, boolean jobRunsElsewhere, long nowNanos) {
        if (quarantined) {
            Duration doubled = probeDelay.multipliedBy(2);
            probeDelay = doubled.compareTo(LONGEST_PROBE_DELAY) > 0 ? LONGEST_PROBE_DELAY : doubled;
            probeAtNanos = nowNanos + probeDelay.toNanos();
            return;
        }
        boolean newJob = failedJobs.add(job);
        if (newJob || jobRunsElsewhere) {
            evidence++;
        }
        if (evidence >= threshold) {
            quarantined = true;
            probeAtNanos = nowNanos + probeDelay.toNanos();
        }
    }

    boolean isQuarantined() {
        return quarantined;
    }

    /** Returns whether a task may be placed now; {@code startsPending} tells whether one is being started already. */
    boolean admits(boolean startsPending, long nowNanos) {
        return !quarantined || (!startsPending && nowNanos >= probeAtNanos);
    }
}
