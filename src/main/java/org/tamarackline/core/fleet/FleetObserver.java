package org.tamarackline.core.fleet;

/** Receives the decisions of a {@link Fleet} and the ends of runs, for logs and metrics. */
public interface FleetObserver {

    /** Called when a job reaches its terminal state. */
    void jobFinished(Job job);

    /** Called when a run that an earlier leader started is adopted. */
    void runAdopted(Run run);

    /** Called when a run is stopped because it makes no progress or is migrated to another runner. */
    void runEvicted(Run run, String reason);

    /** Called when a run is removed whose end no runner reported, so that its task may start again. */
    void runLost(Run run, String reason);

    /**
     * Called when a runner reports that its process has restarted under the same identifier.
     *
     * @param previousStartEpochMs process start of the incarnation that reported before
     */
    void runnerRestarted(FleetRunner runner, long previousStartEpochMs);

    /**
     * Called when a runner reports the end of a run.
     *
     * @param run the run as the leader knew it, null if it did not
     */
    void runEnded(FleetRunner runner, RunnerStatus.EndedRun end, Run run);

    /**
     * Called once for each end of a run that a runner reports to this leader, also if the task or its job has ended
     * before.
     */
    default void endProcessed(EndReason reason) {}

    /**
     * Called when a runner reports the end of a run whose job was cancelled.
     *
     * @param sinceCancelledNanos time since the leader learned of the cancellation
     */
    default void cancelledRunEnded(Run run, long sinceCancelledNanos) {}

    /** Called when the result of a start command is known. */
    default void startCompleted(StartResult result) {}

    /**
     * Called when a runner has confirmed that a task runs which was ready; not for adopted runs.
     *
     * @param waitedNanos time since the task became ready, including starts that were refused or not answered
     */
    default void taskStarted(long waitedNanos) {}
}
