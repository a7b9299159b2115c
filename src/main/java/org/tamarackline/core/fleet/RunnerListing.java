package org.tamarackline.core.fleet;

import java.util.List;

/**
 * What a runner says it runs and which runs have ended.
 *
 * @param bornEpochMs start of the runner's process in milliseconds since 1970, 0 if it did not say
 * @param clockMs clock of the runner in milliseconds
 * @param running runs at work
 * @param ended runs that ended and that the leader has not confirmed yet
 */
public record RunnerListing(long bornEpochMs, long clockMs, List<RunningRow> running, List<EndedRow> ended) {

    /** Creates a listing that later changes of the arguments do not affect. */
    public RunnerListing {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run at work.
     *
     * @param task task that runs
     * @param run number of the run
     * @param checkpoint latest checkpoint, empty for none
     * @param percent progress, or readiness of a serving task
     * @param measurement tail latency in milliseconds of a serving task, thousandths of a processor in use of any other; -1 if
     *     not reported
     */
    public record RunningRow(TaskKey task, long run, String checkpoint, double percent, double measurement) {}

    /**
     * A run that ended.
     *
     * @param number position in the runner's list of ends
     * @param task task that ran
     * @param run number of the run
     * @param reason how it ended
     * @param checkpoint last checkpoint, empty for none
     */
    public record EndedRow(long number, TaskKey task, long run, EndReason reason, String checkpoint) {}
}
