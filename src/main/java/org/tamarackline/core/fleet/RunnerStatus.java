package org.tamarackline.core.fleet;

import java.util.List;

/**
 * What a runner says it runs and which runs have ended.
 *
 * @param processStartEpochMs start of the runner's process in milliseconds since 1970, 0 if it did not say
 * @param clockMs clock of the runner in milliseconds
 * @param activeRuns runs at work
 * @param endedRuns runs that ended and that the leader has not confirmed yet
 */
public record RunnerStatus(
        long processStartEpochMs, long clockMs, List<ActiveRun> activeRuns, List<EndedRun> endedRuns) {

    /** Creates a listing that later changes of the arguments do not affect. */
    public RunnerStatus {
        activeRuns = List.copyOf(activeRuns);
        endedRuns = List.copyOf(endedRuns);
    }

    /**
     * A run at work.
     *
     * @param task task that runs
     * @param runNumber number of the run
     * @param checkpoint latest checkpoint, empty for none
     * @param progressPercent progress, or readiness of a serving task
     * @param measurement tail latency in milliseconds of a serving task, thousandths of a processor in use of any other; -1 if
     *     not reported
     */
    public record ActiveRun(
            TaskKey task, long runNumber, String checkpoint, double progressPercent, double measurement) {}

    /**
     * A run that ended.
     *
     * @param sequenceNumber position in the runner's list of ends
     * @param task task that ran
     * @param runNumber number of the run
     * @param reason how it ended
     * @param checkpoint last checkpoint, empty for none
     */
    public record EndedRun(long sequenceNumber, TaskKey task, long runNumber, EndReason reason, String checkpoint) {}
}
