package org.tamarackline.core.fleet;

/** Hears of decisions and observations, for logs and metrics. */
public interface FleetObserver {

    /** A job reached its last state. */
    void jobFinished(Job job);

    /** A run of an earlier leader goes on under this one. */
    void runAdopted(Run run);

    /** A run is stopped because it does not progress or would progress faster elsewhere. */
    void runEvicted(Run run, String reason);

    /**
     * A runner listed the end of a run.
     *
     * @param run the run as the leader knew it, null if it did not
     */
    void runEnded(FleetRunner runner, RunnerStatus.EndedRun end, Run run);
}
