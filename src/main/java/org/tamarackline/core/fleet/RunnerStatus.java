package org.tamarackline.core.fleet;

import java.util.Comparator;
import java.util.List;

/**
 * The status that a runner reports: its active runs, and the ended runs that the leader has not confirmed.
 *
 * @param processStartEpochMs start of the runner's process in milliseconds since 1970, 0 if not reported
 * @param clockMs clock of the runner in milliseconds
 * @param activeRuns runs in progress
 * @param endedRuns runs that ended and that the leader has not confirmed yet
 */
public record RunnerStatus(
        long processStartEpochMs, long clockMs, List<ActiveRun> activeRuns, List<EndedRun> endedRuns) {

    /** Number of ended runs in a status from which on further ones may be missing. */
    private static final int MAX_ENDED_RUNS = 500;

    /** Copies the lists, and puts the ended runs in the order of their sequence numbers. */
    public RunnerStatus {
        activeRuns = List.copyOf(activeRuns);
        endedRuns = endedRuns.stream()
                .sorted(Comparator.comparingLong(EndedRun::sequenceNumber))
                .toList();
    }

    /** Returns whether further ended runs may be missing, which the runner lists once these are acknowledged. */
    public boolean truncated() {
        return endedRuns.size() >= MAX_ENDED_RUNS;
    }

    /**
     * A run in progress.
     *
     * @param task task of the run
     * @param runNumber number of the run
     * @param checkpoint latest checkpoint, empty for none
     * @param progressPercent progress, or readiness of a latency-critical task
     * @param measurement tail latency in milliseconds of a latency-critical task, processor time in thousandths of a
     *     processor of any other; -1 if not reported
     */
    public record ActiveRun(
            TaskKey task, long runNumber, String checkpoint, double progressPercent, double measurement) {}

    /**
     * A run that ended.
     *
     * @param sequenceNumber position in the runner's list of ended runs
     * @param task task of the run
     * @param runNumber number of the run
     * @param reason how it ended
     * @param checkpoint last checkpoint, empty for none
     */
    public record EndedRun(long sequenceNumber, TaskKey task, long runNumber, EndReason reason, String checkpoint) {}
}
